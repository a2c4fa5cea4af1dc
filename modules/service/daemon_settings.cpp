#include "lovageledge/service/daemon_settings.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <set>
#include <sstream>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

/** Reads the fields of one settings file and collects every fault. */
class settings_reader {
public:
    settings_reader(const std::string& text, std::vector<std::string>& errors)
        : text_{text}, errors_{errors} {}

    bool parse() {
        std::istringstream stream{text_};
        try {
            boost::property_tree::ini_parser::read_ini(stream, tree_);
        } catch (const boost::property_tree::ini_parser_error& problem) {
            errors_.push_back("line " + std::to_string(problem.line()) + ": " + problem.message());
            return false;
        }
        return true;
    }

    void text(const std::string& section, const std::string& key, std::string& target,
              bool is_required = false) {
        const auto value = find(section, key);
        if (value && !value->empty()) {
            target = *value;
        } else if (is_required) {
            fail(section, key, "a value");
        }
    }

    void address(const std::string& section, const std::string& key, std::string& target, bool is_required) {
        text(section, key, target, is_required);
        if (!target.empty() && !parse_endpoint(target)) {
            fail(section, key, "IP number and port, as in 10.0.0.1:8000");
        }
    }

    template <class Number>
    void number(const std::string& section, const std::string& key, Number& target, std::uint64_t minimum,
                std::uint64_t maximum) {
        const auto value = find(section, key);
        if (!value) {
            return;
        }
        std::uint64_t parsed = 0;
        const auto [end, problem] = std::from_chars(value->data(), value->data() + value->size(), parsed);
        const bool is_number = problem == std::errc{} && end == value->data() + value->size();
        if (!is_number || parsed < minimum || parsed > maximum) {
            fail(section, key,
                 "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return;
        }
        target = static_cast<Number>(parsed);
    }

    void time_ms(const std::string& section, const std::string& key, duration& target) {
        constexpr std::uint64_t longest_ms = 24ULL * 3600 * 1000;
        std::uint64_t value =
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(target).count());
        number(section, key, value, 1, longest_ms);
        target = milliseconds{value};
    }

    void share(const std::string& section, const std::string& key, double& target) {
        std::uint32_t percent = static_cast<std::uint32_t>(target * 100);
        number(section, key, percent, 1, 100);
        target = percent / 100.0;
    }

    void peers(std::map<instance_name, std::string>& target) {
        const auto section = tree_.get_child_optional("peers");
        if (!section) {
            return;
        }
        for (const auto& [name, value] : *section) {
            known_.insert(std::string{"peers."}.append(name));
            address("peers", name, target[instance_name{name}], true);
        }
    }

    void reject_unknown() {
        for (const auto& [section, fields] : tree_) {
            for (const auto& [key, value] : fields) {
                if (!known_.contains(std::string{section}.append(".").append(key))) {
                    fail(section, key, "a field that docs/OPERATIONS.md lists");
                }
            }
        }
    }

    void fail(const std::string& section, const std::string& key, const std::string& expected) {
        errors_.push_back("line " + std::to_string(line_of(section, key)) + ", [" + section + "] " + key +
                          ": expected " + expected);
    }

private:
    std::optional<std::string> find(const std::string& section, const std::string& key) {
        known_.insert(section + "." + key);
        const auto child = tree_.get_child_optional(section);
        if (!child) {
            return std::nullopt;
        }
        const auto value = child->get_optional<std::string>(key);
        return value ? std::make_optional(*value) : std::nullopt;
    }

    /** @returns the line of a field, or of its section, or 0 if neither is there */
    std::size_t line_of(const std::string& section, const std::string& key) const {
        std::istringstream stream{text_};
        std::string current;
        std::size_t section_line = 0;
        std::size_t number = 0;
        for (std::string line; std::getline(stream, line);) {
            ++number;
            const std::size_t begin = line.find_first_not_of(" \t");
            if (begin == std::string::npos) {
                continue;
            }
            if (line[begin] == '[') {
                current = line.substr(begin + 1, line.find(']') - begin - 1);
                section_line = current == section ? number : section_line;
            } else if (current == section && line.compare(begin, key.size(), key) == 0) {
                const std::size_t after = line.find_first_not_of(" \t", begin + key.size());
                if (after != std::string::npos && line[after] == '=') {
                    return number;
                }
            }
        }
        return section_line;
    }

    const std::string& text_;
    std::vector<std::string>& errors_;
    boost::property_tree::ptree tree_;
    std::set<std::string> known_;
};

void read_identity(settings_reader& reader, daemon_settings& settings) {
    std::string name;
    std::string region;
    std::string data_centre;
    reader.text("instance", "name", name, true);
    reader.text("instance", "region", region, true);
    reader.text("instance", "data_centre", data_centre, true);
    reader.address("instance", "peer_address", settings.identity.peer_address, true);
    reader.address("instance", "caller_address", settings.caller_address, true);
    reader.address("instance", "admin_address", settings.admin_address, true);
    reader.text("instance", "admin_token_sha256", settings.admin_token_digest, true);
    reader.number("instance", "threads", settings.threads, 1, 64);
    settings.identity.name = instance_name{name};
    settings.identity.region = region_name{region};
    settings.identity.data_centre = data_centre_name{data_centre};
}

void read_limits(settings_reader& reader, daemon_settings& settings) {
    reader.number("limits", "body_bytes", settings.limits.body_bytes, 1024, 64ULL * 1024 * 1024);
    reader.number("limits", "header_bytes", settings.limits.header_bytes, 1024, 1024ULL * 1024);
    reader.number("limits", "connections", settings.limits.connections, 1, 65536);
    reader.time_ms("limits", "request_timeout_ms", settings.limits.request_timeout);
    reader.time_ms("limits", "idle_timeout_ms", settings.limits.idle_timeout);
    reader.time_ms("limits", "write_timeout_ms", settings.limits.write_timeout);
    reader.number("limits", "max_tokens", settings.max_tokens_limit, 1, 1024ULL * 1024);
    reader.time_ms("limits", "default_deadline_ms", settings.default_deadline);
    reader.time_ms("limits", "stream_silence_ms", settings.stream_silence);
}

void read_coordination(settings_reader& reader, coordination_settings& settings) {
    const std::string section = "coordination";
    reader.time_ms(section, "heartbeat_interval_ms", settings.heartbeat_interval);
    reader.time_ms(section, "suspect_after_ms", settings.suspect_after);
    reader.time_ms(section, "settle_time_ms", settings.settle_time);
    reader.time_ms(section, "rebalance_interval_ms", settings.rebalance_interval);
    reader.time_ms(section, "request_life_limit_ms", settings.request_life_limit);
    reader.time_ms(section, "uncertain_hold_ms", settings.uncertain_hold);
    reader.number(section, "attempt_limit", settings.attempt_limit, 1, 100);
    reader.time_ms(section, "unrouted_limit_ms", settings.unrouted_limit);
    reader.time_ms(section, "cancel_grace_ms", settings.cancel_grace);
    reader.time_ms(section, "claim_limit_ms", settings.claim_limit);
    reader.number(section, "credit_window", settings.credit_window, 2, 65536);
    reader.number(section, "watchers_per_data_centre", settings.watchers_per_data_centre, 1, 100);
    const std::string policy = "policy";
    std::string placement = "cost";
    reader.text(policy, "placement", placement);
    if (placement != "cost" && placement != "least_outstanding") {
        reader.fail(policy, "placement", "cost or least_outstanding");
    }
    settings.placement = placement == "cost" ? placement_policy::cost : placement_policy::least_outstanding;
    reader.number(policy, "queue_limit", settings.queue_limit, 1, 100'000);
    reader.number(policy, "long_tokens", settings.long_tokens, 1, 1'000'000);
    reader.share(policy, "long_share_percent", settings.long_share);
    reader.number(policy, "length_weight", settings.length_weight, 0, 1000);
    reader.number(policy, "standby_intents", settings.standby_intents, 1, 64);
    reader.time_ms(policy, "eviction_idle_ms", settings.eviction_idle);
    reader.time_ms(policy, "load_backoff_ms", settings.load_backoff);
    reader.time_ms(policy, "load_time_ms", settings.load_time);
    reader.time_ms(policy, "remote_penalty_ms", settings.remote_penalty);
    reader.number(policy, "crash_limit", settings.crash_limit, 1, 100);
}

} // namespace

std::optional<daemon_settings> parse_settings(const std::string& text, std::vector<std::string>& errors) {
    errors.clear();
    daemon_settings settings;
    settings_reader reader{text, errors};
    if (!reader.parse()) {
        return std::nullopt;
    }
    read_identity(reader, settings);
    reader.address("platform", "address", settings.platform_address, true);
    reader.peers(settings.seed_peers);
    read_limits(reader, settings);
    reader.time_ms("stop", "balancer_lag_ms", settings.balancer_lag);
    reader.time_ms("stop", "drain_limit_ms", settings.drain_limit);
    reader.text("log", "level", settings.log_level);
    read_coordination(reader, settings.coordination);
    reader.reject_unknown();
    if (!errors.empty()) {
        return std::nullopt;
    }
    settings.identity.start = start_id{random_identifier()};
    return settings;
}

} // namespace lovageledge
