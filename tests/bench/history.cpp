#include "history.hpp"

namespace lovageledge::bench {

std::string guarantee_name(guarantee which) {
    static const char* const names[guarantee_count] = {"correct adapter",
                                                       "no eviction in use",
                                                       "complete response",
                                                       "not run is truthful",
                                                       "at most once",
                                                       "no work for leaving server",
                                                       "planned stop aborts nothing",
                                                       "monotonic configuration"};
    return names[static_cast<std::size_t>(which)];
}

void history::on_accepted(const std::string& request, const std::string& adapter, std::uint32_t tokens,
                          const std::string& key, bool is_idempotent) {
    request_record& record = requests_[request];
    record.adapter = adapter;
    record.tokens = tokens;
    record.key = key;
    record.is_idempotent = is_idempotent;
}

void history::on_tokens(const std::string& request, const std::vector<std::string>& tokens) {
    auto& received = requests_[request].received;
    received.insert(received.end(), tokens.begin(), tokens.end());
}

void history::on_finished(const std::string& request, request_end end) {
    requests_[request].has_ended = true;
    requests_[request].end = std::move(end);
}

void history::on_execution(const std::string& request, const std::string& adapter,
                           const std::string& server) {
    executions_.push_back({request, adapter, server});
}

void history::on_eviction_in_use(const std::string& server, const std::string& adapter,
                                 const std::string& request) {
    reported_violations_.push_back(
        {guarantee::no_eviction_in_use, server + " evicted " + adapter + " in use by " + request});
}

void history::on_late_work(const std::string& server, const std::string& request) {
    reported_violations_.push_back(
        {guarantee::no_work_for_leaving_server, server + " is leaving and got new request " + request});
}

void history::on_aborted_by_stop(const std::string& request, const std::string& instance) {
    reported_violations_.push_back(
        {guarantee::planned_stop_aborts_nothing, "the planned stop of " + instance + " aborted " + request});
}

void history::on_revision(const std::string& instance_start, std::uint64_t revision,
                          const std::string& digest) {
    std::uint64_t& last = revisions_[instance_start];
    if (revision < last) {
        reported_violations_.push_back({guarantee::monotonic_configuration,
                                        instance_start + " went from revision " + std::to_string(last) +
                                            " to " + std::to_string(revision)});
    }
    last = revision;
    const auto [known, is_new] = digests_.emplace(revision, digest);
    if (!is_new && known->second != digest) {
        reported_violations_.push_back({guarantee::monotonic_configuration,
                                        "two different sheets have revision " + std::to_string(revision)});
    }
}

void history::check_request(const std::string& id, const request_record& record, int runs,
                            std::vector<violation>& found) const {
    std::string run;
    for (std::size_t i = 0; i < record.received.size(); ++i) {
        const std::string& token = record.received[i];
        const std::size_t run_separator = token.find('~');
        const std::string expected = record.adapter + "#" + std::to_string(i);
        run = i == 0 ? token.substr(run_separator) : run;
        if (token.substr(0, run_separator) != expected || token.substr(run_separator) != run) {
            const bool is_wrong_adapter = !token.starts_with(record.adapter + "#");
            found.push_back(
                {is_wrong_adapter ? guarantee::correct_adapter : guarantee::complete_response,
                 std::string{id}.append(" got ").append(token).append(" for ").append(expected).append(run)});
            break;
        }
    }
    if (record.end.outcome == "done" && record.received.size() != record.tokens) {
        found.push_back({guarantee::complete_response, id + " is done with " +
                                                           std::to_string(record.received.size()) + " of " +
                                                           std::to_string(record.tokens) + " tokens"});
    }
    if (record.end.outcome == "not_run" && runs > 0) {
        found.push_back({guarantee::not_run_is_truthful,
                         id + " was reported as not run, but ran (" + record.end.reason + ")"});
    }
    if (!record.is_idempotent && runs > 1) {
        found.push_back({guarantee::at_most_once, id + " ran " + std::to_string(runs) + " times"});
    }
}

std::vector<history::violation> history::check() const {
    std::vector<violation> found = reported_violations_;
    std::map<std::string, int> runs;
    std::map<std::string, int> runs_by_key;
    for (const execution& executed : executions_) {
        ++runs[executed.request];
        const auto record = requests_.find(executed.request);
        if (record == requests_.end()) {
            continue;
        }
        if (record->second.adapter != executed.adapter) {
            found.push_back({guarantee::correct_adapter, executed.request + " ran on " + executed.adapter});
        }
        if (!record->second.key.empty()) {
            ++runs_by_key[record->second.key];
        }
    }
    for (const auto& [id, record] : requests_) {
        check_request(id, record, runs[id], found);
    }
    for (const auto& [key, count] : runs_by_key) {
        if (count > 1) {
            found.push_back(
                {guarantee::at_most_once, "key " + key + " ran " + std::to_string(count) + " times"});
        }
    }
    return found;
}

std::map<std::string, int> history::outcomes() const {
    std::map<std::string, int> counts;
    for (const auto& [id, record] : requests_) {
        ++counts[record.has_ended ? record.end.outcome : "open"];
    }
    return counts;
}

} // namespace lovageledge::bench
