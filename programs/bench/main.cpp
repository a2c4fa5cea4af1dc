#include "lovageledge/coordination/coordination.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <random>

// Measures the slopes that docs/CAPACITY.md is worked out from: processor time, memory and bytes of the
// decisions, by number of servers, adapters, peers, requests and tokens. Prints one CSV line per measurement.

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t slots_per_server = 16;

double cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/** @returns bytes that are allocated and not freed */
double heap_bytes() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

void report(const char* what, const char* unit, double size, double value) {
    std::printf("%s,%s,%.0f,%.6g\n", what, unit, size, value);
    std::fflush(stdout);
}

/** @returns processor time of one call, in seconds */
double time_of(std::uint32_t repeats, const std::function<void(std::uint32_t)>& action) {
    const double began = cpu_seconds();
    for (std::uint32_t i = 0; i < repeats; ++i) {
        action(i);
    }
    return (cpu_seconds() - began) / repeats;
}

std::string make_sheet(std::uint32_t servers, std::uint32_t adapters) {
    std::string sheet = "store,4,8\npool,pool,no\n";
    for (std::uint32_t i = 0; i < servers; ++i) {
        sheet += "server,server-" + std::to_string(i) + ",pool,region-" + std::to_string(i % 5) + ",centre-" +
                 std::to_string(i % 17) + ",127.0.0.1:1,16,16\n";
    }
    for (std::uint32_t i = 0; i < adapters; ++i) {
        sheet += "adapter,adapter-" + std::to_string(i) + ",v1,pool,/weights/adapter-" + std::to_string(i) +
                 "/v1\n";
    }
    return sheet;
}

configuration_ptr make_configuration(std::uint32_t servers, std::uint32_t adapters) {
    std::vector<sheet_error> errors;
    return std::make_shared<const configuration>(*parse_sheet(make_sheet(servers, adapters), 1, errors));
}

protocol::ServerReport make_report(std::uint32_t server, std::uint32_t adapters, std::mt19937& random) {
    protocol::ServerReport item;
    item.set_server("server-" + std::to_string(server));
    item.set_start("0123456789abcdef0123456789abcdef");
    item.set_epoch(3);
    item.set_ready(true);
    item.set_generation(1);
    item.set_running(8);
    item.set_waiting(2);
    item.set_wait_estimate_us(random() % 100'000);
    item.set_load_estimate_us(300'000);
    item.set_has_adapters(true);
    for (std::uint32_t i = 0; i < slots_per_server; ++i) {
        item.add_adapters("adapter-" + std::to_string(random() % adapters) + "@v1");
    }
    return item;
}

void measure_routing(std::uint32_t servers, std::uint32_t adapters) {
    const instance_identity self{instance_name{"self"}, start_id{"s"}, region_name{"region-0"},
                                 data_centre_name{"c"}, ""};
    const coordination_settings settings;
    std::mt19937 random{1};
    const auto config = make_configuration(servers, adapters);
    const double before = heap_bytes();
    router directory{self, settings};
    directory.set_configuration(config);
    for (std::uint32_t i = 0; i < servers; ++i) {
        directory.on_report(instance_name{"owner-" + std::to_string(i % 380)},
                            make_report(i, adapters, random));
    }
    report("router_memory", "bytes", servers, heap_bytes() - before);
    std::vector<protocol::RequestSpec> specs(adapters);
    for (std::uint32_t i = 0; i < adapters; ++i) {
        specs[i].set_adapter("adapter-" + std::to_string(i) + "@v1");
    }
    const double first = time_of(adapters, [&](std::uint32_t i) { directory.pick(specs[i], {}); });
    const double later =
        time_of(200'000, [&](std::uint32_t i) { directory.pick(specs[i * 7919 % adapters], {}); });
    report("pick_first", "us", servers, first * 1e6);
    report("pick_again", "us", servers, later * 1e6);
    report("router_memory_all_adapters_picked", "bytes", adapters, heap_bytes() - before);
    const auto item = make_report(0, adapters, random);
    report("take_report", "us", servers, time_of(20'000, [&](std::uint32_t) {
                                             directory.on_report(instance_name{"owner-0"}, item);
                                         }) * 1e6);
}

void measure_configuration(std::uint32_t adapters) {
    const std::string sheet = make_sheet(1200, adapters);
    const double before = heap_bytes();
    std::vector<sheet_error> errors;
    std::optional<configuration> parsed;
    const double cost = time_of(1, [&](std::uint32_t) { parsed = parse_sheet(sheet, 1, errors); });
    report("parse_sheet", "ms", adapters, cost * 1e3);
    report("sheet", "bytes", adapters, static_cast<double>(sheet.size()));
    report("configuration_memory", "bytes", adapters, heap_bytes() - before);
}

/** One instance with peers, fed through its public interface. */
class node_under_load {
public:
    node_under_load(std::uint32_t peers, std::uint32_t servers, std::uint32_t adapters)
        : decisions_{{instance_name{"self"}, start_id{"s0"}, region_name{"region-0"}, data_centre_name{"c"},
                      "127.0.0.1:1"},
                     {},
                     [](event, std::string_view) {}} {
        const std::string sheet = make_sheet(servers, adapters);
        protocol::Envelope message = envelope("peer-0");
        auto* part = message.mutable_configuration_part();
        part->set_revision(1);
        part->set_digest(sha256_hex(sheet));
        part->set_count(1);
        part->set_sheet(sheet);
        run(decisions_.on_peer_message(message, now_));
        for (std::uint32_t i = 0; i < peers; ++i) {
            heartbeats_.push_back(make_heartbeat(i, peers, servers, adapters));
        }
        hear_peers();
    }

    void hear_peers() {
        for (const protocol::Envelope& message : heartbeats_) {
            run(decisions_.on_peer_message(message, now_));
        }
    }

    void tick(milliseconds step) {
        now_ += step;
        run(decisions_.on_tick(now_));
    }

    /** Makes this instance the owner of a server with all adapters of its slots loaded. */
    void own(std::uint32_t server) {
        protocol::OwnershipRecord record;
        record.set_server("server-" + std::to_string(server));
        record.mutable_owner()->set_instance("self");
        record.mutable_owner()->set_start("s0");
        record.mutable_owner()->set_epoch(9);
        owned_record_ = to_json(record);
        protocol::Envelope message = envelope("peer-0");
        message.mutable_handover()->set_server(record.server());
        message.mutable_handover()->set_epoch(9);
        run(decisions_.on_peer_message(message, now_));
        std::vector<adapter_key> loaded;
        for (std::uint32_t i = 0; i < slots_per_server; ++i) {
            loaded.emplace_back("adapter-" + std::to_string(i) + "@v1");
        }
        run(decisions_.on_server_status(server_name{record.server()}, start_id{"engine"}, loaded, false,
                                        now_));
        for (int i = 0; i < 40; ++i) {
            tick(milliseconds{25});
            hear_peers();
        }
    }

    /** One whole request that enters here and runs on a server that is owned here. */
    void serve(std::uint32_t number, std::uint32_t tokens) {
        incoming_request ticket;
        ticket.deadline = now_ + std::chrono::seconds{60};
        ticket.spec.set_id("request-" + std::to_string(number));
        ticket.spec.set_adapter("adapter-" + std::to_string(number % slots_per_server) + "@v1");
        ticket.spec.set_max_tokens(tokens);
        ticket.spec.set_importance(50);
        ticket.spec.set_idempotent(true);
        dispatched_.reset();
        run(decisions_.accept(std::move(ticket), now_));
        if (!dispatched_) {
            ++lost_;
            return;
        }
        const dispatch_request item = *dispatched_;
        for (std::uint32_t i = 0; i < tokens; ++i) {
            run(decisions_.on_dispatch_progress(item.server, item.id, i, {"token text"}, now_));
        }
        run(decisions_.on_dispatch_ended(item.server, item.id, {protocol::DONE, {}, milliseconds{0}, false},
                                         tokens, now_));
    }

    std::uint32_t lost() const { return lost_; }
    double heartbeat_bytes() const { return static_cast<double>(heartbeats_.front().ByteSizeLong()); }
    std::uint64_t platform_calls() const { return platform_calls_; }
    std::uint64_t peer_messages() const { return peer_messages_; }

private:
    static protocol::Envelope envelope(const std::string& from) {
        protocol::Envelope message;
        message.set_protocol_version(peer_protocol_version);
        message.set_from(from);
        message.set_from_start("0123456789abcdef0123456789abcdef");
        return message;
    }

    protocol::Envelope make_heartbeat(std::uint32_t peer, std::uint32_t peers, std::uint32_t servers,
                                      std::uint32_t adapters) {
        protocol::Envelope message = envelope("peer-" + std::to_string(peer));
        auto* heartbeat = message.mutable_heartbeat();
        heartbeat->set_address("10.0.0.1:7000");
        heartbeat->set_region("region-" + std::to_string(peer % 5));
        heartbeat->set_data_centre("centre-" + std::to_string(peer % 17));
        heartbeat->set_revision(1);
        for (std::uint32_t server = peer + 1; server < servers; server += peers) {
            *heartbeat->add_servers() = make_report(server, adapters, random_);
            heartbeat->mutable_servers(heartbeat->servers_size() - 1)->clear_adapters();
            heartbeat->mutable_servers(heartbeat->servers_size() - 1)->set_has_adapters(false);
        }
        return message;
    }

    void run(command_list commands) {
        for (node_command& item : commands) {
            if (auto* call = std::get_if<call_platform>(&item)) {
                ++platform_calls_;
                answer(*call);
            } else if (auto* dispatch = std::get_if<dispatch_request>(&item)) {
                dispatched_ = std::move(*dispatch);
            } else if (std::holds_alternative<send_to_peer>(item)) {
                ++peer_messages_;
            }
        }
    }

    void answer(const call_platform& call) {
        const bool is_owned = call.kind == "ownership" && call.operation == platform_operation::get &&
                              !owned_record_.empty() &&
                              owned_record_.find("\"" + call.name + "\"") != std::string::npos;
        const bool is_write = call.operation == platform_operation::put;
        const platform_response reply = is_owned   ? platform_response{platform_status::ok, 1, owned_record_}
                                        : is_write ? platform_response{platform_status::ok, ++version_, ""}
                                                   : platform_response{};
        run(decisions_.on_platform_response(call.call, reply, now_));
    }

    std::mt19937 random_{1};
    time_point now_{std::chrono::hours{1}};
    node decisions_;
    std::vector<protocol::Envelope> heartbeats_;
    std::string owned_record_;
    std::optional<dispatch_request> dispatched_;
    std::uint32_t lost_ = 0;
    std::uint64_t version_ = 1;
    std::uint64_t platform_calls_ = 0;
    std::uint64_t peer_messages_ = 0;
};

void measure_node(std::uint32_t peers, std::uint32_t servers, std::uint32_t adapters) {
    const double before = heap_bytes();
    node_under_load load{peers, servers, adapters};
    report("node_memory", "bytes", peers, heap_bytes() - before);
    report("heartbeat_size", "bytes", static_cast<double>(servers) / peers, load.heartbeat_bytes());
    report("take_heartbeat", "us", peers,
           time_of(20, [&](std::uint32_t) { load.hear_peers(); }) / peers * 1e6);
    // Ticks come every 25 ms; every tenth sends a heartbeat to each peer.
    report("tick", "us", peers, time_of(400, [&](std::uint32_t i) {
                                    load.tick(milliseconds{25});
                                    if (i % 40 == 0) {
                                        load.hear_peers();
                                    }
                                }) * 1e6);
}

void measure_requests(std::uint32_t tokens) {
    node_under_load load{6, 1, 3000};
    load.own(0);
    load.serve(0, 1);
    constexpr std::uint32_t requests = 20'000;
    const double cost = time_of(requests, [&](std::uint32_t i) { load.serve(i + 1, tokens); });
    if (load.lost() > 0) {
        std::fprintf(stderr, "%u of %u requests were not dispatched\n", load.lost(), requests);
    }
    report("request", "us", tokens, cost * 1e6);
}

} // namespace
} // namespace lovageledge

int main(int argc, char** argv) {
    using namespace lovageledge;
    CLI::App app{"Measures the slopes of docs/CAPACITY.md and prints them as CSV: what,unit,size,value"};
    CLI11_PARSE(app, argc, argv);
    std::printf("what,unit,size,value\n");
    const std::pair<std::uint32_t, std::uint32_t> sizes[] = {
        {12, 3000}, {120, 6000}, {400, 12'000}, {1200, 21'000}};
    for (const auto& [servers, adapters] : sizes) {
        measure_routing(servers, adapters);
    }
    for (const std::uint32_t adapters : {3000U, 6000U, 12'000U, 21'000U}) {
        measure_configuration(adapters);
    }
    measure_node(6, 12, 3000);
    measure_node(60, 190, 6000);
    measure_node(190, 600, 12'000);
    measure_node(379, 1200, 21'000);
    for (const std::uint32_t tokens : {1U, 10U, 100U, 400U}) {
        measure_requests(tokens);
    }
    return 0;
}
