#include "lovageledge/coordination/coordination.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <random>

// Measures how the processor time, memory and message sizes of the coordination code grow with the number of
// servers, adapters, peers, requests and tokens. docs/CAPACITY.md is calculated from these slopes. Prints one
// CSV line per measurement.

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t slots_per_server = 16;

/** @returns processor time that the process has used, in seconds */
double cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/** @returns bytes that are allocated and not yet freed */
double allocated_heap_bytes() {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

void print_measurement(const char* metric, const char* unit, double size, double value) {
    std::printf("%s,%s,%.0f,%.6g\n", metric, unit, size, value);
    std::fflush(stdout);
}

/** @returns mean processor time of a call, in seconds; the action gets the index of the call */
double cpu_time_per_call(std::uint32_t repeats, const std::function<void(std::uint32_t)>& action) {
    const double start_s = cpu_seconds();
    for (std::uint32_t i = 0; i < repeats; ++i) {
        action(i);
    }
    return (cpu_seconds() - start_s) / repeats;
}

/** @returns a sheet with the servers spread over 5 regions and 17 data centres */
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

/** @returns the report of a server whose slots all hold adapters chosen at random */
protocol::ServerReport make_report(std::uint32_t server, std::uint32_t adapters, std::mt19937& random) {
    protocol::ServerReport report;
    report.set_server("server-" + std::to_string(server));
    report.set_start("0123456789abcdef0123456789abcdef");
    report.set_epoch(3);
    report.set_ready(true);
    report.set_generation(1);
    report.set_running(8);
    report.set_waiting(2);
    report.set_wait_estimate_us(random() % 100'000);
    report.set_load_estimate_us(300'000);
    report.set_has_adapters(true);
    for (std::uint32_t i = 0; i < slots_per_server; ++i) {
        report.add_adapters("adapter-" + std::to_string(random() % adapters) + "@v1");
    }
    return report;
}

void measure_routing(std::uint32_t servers, std::uint32_t adapters) {
    const instance_identity self{instance_name{"self"}, start_id{"s"}, region_name{"region-0"},
                                 data_centre_name{"c"}, ""};
    const coordination_settings settings;
    std::mt19937 random{1};
    const auto config = make_configuration(servers, adapters);
    const double heap_before = allocated_heap_bytes();
    router routing{self, settings};
    routing.set_configuration(config);
    // The reports come from up to 380 owners.
    for (std::uint32_t i = 0; i < servers; ++i) {
        routing.on_report(instance_name{"owner-" + std::to_string(i % 380)},
                          make_report(i, adapters, random));
    }
    print_measurement("router_memory", "bytes", servers, allocated_heap_bytes() - heap_before);
    std::vector<protocol::RequestSpec> specs(adapters);
    for (std::uint32_t i = 0; i < adapters; ++i) {
        specs[i].set_adapter("adapter-" + std::to_string(i) + "@v1");
    }
    const double first_pick_s =
        cpu_time_per_call(adapters, [&](std::uint32_t i) { routing.pick(specs[i], {}); });
    // The prime stride picks the adapters in scattered order.
    const double repeated_pick_s =
        cpu_time_per_call(200'000, [&](std::uint32_t i) { routing.pick(specs[i * 7919 % adapters], {}); });
    print_measurement("pick_first", "us", servers, first_pick_s * 1e6);
    print_measurement("pick_again", "us", servers, repeated_pick_s * 1e6);
    print_measurement("router_memory_all_adapters_picked", "bytes", adapters,
                      allocated_heap_bytes() - heap_before);
    const auto report = make_report(0, adapters, random);
    print_measurement("take_report", "us", servers, cpu_time_per_call(20'000, [&](std::uint32_t) {
                                                        routing.on_report(instance_name{"owner-0"}, report);
                                                    }) * 1e6);
}

void measure_configuration(std::uint32_t adapters) {
    const std::string sheet = make_sheet(1200, adapters);
    const double heap_before = allocated_heap_bytes();
    std::vector<sheet_error> errors;
    std::optional<configuration> parsed;
    const double cpu_time_s =
        cpu_time_per_call(1, [&](std::uint32_t) { parsed = parse_sheet(sheet, 1, errors); });
    print_measurement("parse_sheet", "ms", adapters, cpu_time_s * 1e3);
    print_measurement("sheet", "bytes", adapters, static_cast<double>(sheet.size()));
    print_measurement("configuration_memory", "bytes", adapters, allocated_heap_bytes() - heap_before);
}

/** One node with simulated peers, engines and platform, driven through its public interface. */
class node_fixture {
public:
    node_fixture(std::uint32_t peers, std::uint32_t servers, std::uint32_t adapters)
        : node_{{instance_name{"self"}, start_id{"s0"}, region_name{"region-0"}, data_centre_name{"c"},
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
        execute(node_.on_peer_message(message, now_));
        for (std::uint32_t i = 0; i < peers; ++i) {
            heartbeats_.push_back(make_heartbeat(i, peers, servers, adapters));
        }
        receive_heartbeats();
    }

    /** Delivers one heartbeat from each peer. */
    void receive_heartbeats() {
        for (const protocol::Envelope& message : heartbeats_) {
            execute(node_.on_peer_message(message, now_));
        }
    }

    void tick(milliseconds step) {
        now_ += step;
        execute(node_.on_tick(now_));
    }

    /** Makes this instance the owner of a server with an adapter loaded in every slot. */
    void take_ownership(std::uint32_t server) {
        protocol::OwnershipRecord record;
        record.set_server("server-" + std::to_string(server));
        record.mutable_owner()->set_instance("self");
        record.mutable_owner()->set_start("s0");
        record.mutable_owner()->set_epoch(9);
        ownership_record_ = to_json(record);
        protocol::Envelope message = envelope("peer-0");
        message.mutable_handover()->set_server(record.server());
        message.mutable_handover()->set_epoch(9);
        execute(node_.on_peer_message(message, now_));
        std::vector<adapter_key> loaded;
        for (std::uint32_t i = 0; i < slots_per_server; ++i) {
            loaded.emplace_back("adapter-" + std::to_string(i) + "@v1");
        }
        execute(
            node_.on_server_status(server_name{record.server()}, start_id{"engine"}, loaded, false, now_));
        for (int i = 0; i < 40; ++i) {
            tick(milliseconds{25});
            receive_heartbeats();
        }
    }

    /** Runs one request to its end: it enters at this instance and is dispatched to a server that it owns. */
    void complete_request(std::uint32_t number, std::uint32_t tokens) {
        incoming_request ticket;
        ticket.deadline = now_ + std::chrono::seconds{60};
        ticket.spec.set_id("request-" + std::to_string(number));
        ticket.spec.set_adapter("adapter-" + std::to_string(number % slots_per_server) + "@v1");
        ticket.spec.set_max_tokens(tokens);
        ticket.spec.set_importance(50);
        ticket.spec.set_idempotent(true);
        last_dispatch_.reset();
        execute(node_.accept(std::move(ticket), now_));
        if (!last_dispatch_) {
            ++undispatched_;
            return;
        }
        const dispatch_request dispatched = *last_dispatch_;
        for (std::uint32_t i = 0; i < tokens; ++i) {
            execute(node_.on_dispatch_progress(dispatched.server, dispatched.id, i, {"token text"}, now_));
        }
        execute(node_.on_dispatch_ended(dispatched.server, dispatched.id,
                                        {protocol::DONE, {}, milliseconds{0}, false}, tokens, now_));
    }

    /** @returns number of requests that were not dispatched at once */
    std::uint32_t undispatched() const { return undispatched_; }
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
            // Most heartbeats carry no lists of adapters.
            heartbeat->mutable_servers(heartbeat->servers_size() - 1)->clear_adapters();
            heartbeat->mutable_servers(heartbeat->servers_size() - 1)->set_has_adapters(false);
        }
        return message;
    }

    void execute(command_list commands) {
        for (node_command& command : commands) {
            if (auto* call = std::get_if<call_platform>(&command)) {
                ++platform_calls_;
                answer_platform_call(*call);
            } else if (auto* dispatch = std::get_if<dispatch_request>(&command)) {
                last_dispatch_ = std::move(*dispatch);
            } else if (std::holds_alternative<send_to_peer>(command)) {
                ++peer_messages_;
            }
        }
    }

    /** Simulates the platform: a get finds nothing but the ownership record, a put always succeeds. */
    void answer_platform_call(const call_platform& call) {
        const bool is_owned = call.kind == "ownership" && call.operation == platform_operation::get &&
                              !ownership_record_.empty() &&
                              ownership_record_.find("\"" + call.name + "\"") != std::string::npos;
        const bool is_write = call.operation == platform_operation::put;
        const platform_response reply = is_owned
                                            ? platform_response{platform_status::ok, 1, ownership_record_}
                                        : is_write ? platform_response{platform_status::ok, ++version_, ""}
                                                   : platform_response{};
        execute(node_.on_platform_response(call.call, reply, now_));
    }

    std::mt19937 random_{1};
    time_point now_{std::chrono::hours{1}};
    node node_;
    std::vector<protocol::Envelope> heartbeats_;
    std::string ownership_record_;
    std::optional<dispatch_request> last_dispatch_;
    std::uint32_t undispatched_ = 0;
    std::uint64_t version_ = 1;
    std::uint64_t platform_calls_ = 0;
    std::uint64_t peer_messages_ = 0;
};

void measure_node(std::uint32_t peers, std::uint32_t servers, std::uint32_t adapters) {
    const double heap_before = allocated_heap_bytes();
    node_fixture fixture{peers, servers, adapters};
    print_measurement("node_memory", "bytes", peers, allocated_heap_bytes() - heap_before);
    print_measurement("heartbeat_size", "bytes", static_cast<double>(servers) / peers,
                      fixture.heartbeat_bytes());
    print_measurement("take_heartbeat", "us", peers,
                      cpu_time_per_call(20, [&](std::uint32_t) { fixture.receive_heartbeats(); }) / peers *
                          1e6);
    // A tick is due every 25 ms; every tenth tick sends a heartbeat to each peer. The figure includes the
    // heartbeats that the peers send, one round in 40 ticks.
    print_measurement("tick", "us", peers, cpu_time_per_call(400, [&](std::uint32_t i) {
                                               fixture.tick(milliseconds{25});
                                               if (i % 40 == 0) {
                                                   fixture.receive_heartbeats();
                                               }
                                           }) * 1e6);
}

void measure_requests(std::uint32_t tokens) {
    node_fixture fixture{6, 1, 3000};
    fixture.take_ownership(0);
    fixture.complete_request(0, 1);
    constexpr std::uint32_t request_count = 20'000;
    const double cpu_time_s =
        cpu_time_per_call(request_count, [&](std::uint32_t i) { fixture.complete_request(i + 1, tokens); });
    if (fixture.undispatched() > 0) {
        std::fprintf(stderr, "%u of %u requests were not dispatched\n", fixture.undispatched(),
                     request_count);
    }
    print_measurement("request", "us", tokens, cpu_time_s * 1e6);
}

} // namespace
} // namespace lovageledge

int main(int argc, char** argv) {
    using namespace lovageledge;
    CLI::App app{"Measures the figures behind docs/CAPACITY.md and prints them as CSV: what,unit,size,value"};
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
