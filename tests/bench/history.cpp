#include "history.hpp"

namespace lovageledge::bench {

std::string promise_name(promise which) {
    static const char* const names[promise_count] = {"right adapter",
                                                     "no eviction in use",
                                                     "whole answer",
                                                     "not run means not run",
                                                     "at most once",
                                                     "leaving gets no work",
                                                     "planned stop cuts nothing",
                                                     "configuration never reverts"};
    return names[static_cast<std::size_t>(which)];
}

void history::on_accepted(const std::string& request, const std::string& adapter, std::uint32_t tokens,
                          const std::string& key, bool is_idempotent) {
    request_facts& facts = requests_[request];
    facts.adapter = adapter;
    facts.tokens = tokens;
    facts.key = key;
    facts.is_idempotent = is_idempotent;
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
    observed_.push_back({promise::no_eviction_in_use, server + " evicted " + adapter + " under " + request});
}

void history::on_late_work(const std::string& server, const std::string& request) {
    observed_.push_back({promise::leaving_gets_no_work, server + " leaves and got " + request});
}

void history::on_cut_by_stop(const std::string& request, const std::string& instance) {
    observed_.push_back(
        {promise::planned_stop_cuts_nothing, "the stop of " + instance + " cut off " + request});
}

void history::on_revision(const std::string& instance_start, std::uint64_t revision,
                          const std::string& digest) {
    std::uint64_t& last = revisions_[instance_start];
    if (revision < last) {
        observed_.push_back({promise::configuration_never_reverts, instance_start + " went from revision " +
                                                                       std::to_string(last) + " to " +
                                                                       std::to_string(revision)});
    }
    last = revision;
    const auto [known, is_new] = digests_.emplace(revision, digest);
    if (!is_new && known->second != digest) {
        observed_.push_back(
            {promise::configuration_never_reverts, "two sheets are revision " + std::to_string(revision)});
    }
}

void history::check_request(const std::string& id, const request_facts& facts, int runs,
                            std::vector<violation>& found) const {
    std::string run;
    for (std::size_t i = 0; i < facts.received.size(); ++i) {
        const std::string& token = facts.received[i];
        const std::size_t mark = token.find('~');
        const std::string expected = facts.adapter + "#" + std::to_string(i);
        run = i == 0 ? token.substr(mark) : run;
        if (token.substr(0, mark) != expected || token.substr(mark) != run) {
            const bool is_adapter = !token.starts_with(facts.adapter + "#");
            found.push_back(
                {is_adapter ? promise::right_adapter : promise::whole_answer,
                 std::string{id}.append(" got ").append(token).append(" for ").append(expected).append(run)});
            break;
        }
    }
    if (facts.end.outcome == "done" && facts.received.size() != facts.tokens) {
        found.push_back({promise::whole_answer, id + " is done with " +
                                                    std::to_string(facts.received.size()) + " of " +
                                                    std::to_string(facts.tokens) + " tokens"});
    }
    if (facts.end.outcome == "not_run" && runs > 0) {
        found.push_back(
            {promise::not_run_means_not_run, id + " was not run, and ran (" + facts.end.reason + ")"});
    }
    if (!facts.is_idempotent && runs > 1) {
        found.push_back({promise::at_most_once, id + " ran " + std::to_string(runs) + " times"});
    }
}

std::vector<history::violation> history::check() const {
    std::vector<violation> found = observed_;
    std::map<std::string, int> runs;
    std::map<std::string, int> runs_by_key;
    for (const execution& item : executions_) {
        ++runs[item.request];
        const auto facts = requests_.find(item.request);
        if (facts == requests_.end()) {
            continue;
        }
        if (facts->second.adapter != item.adapter) {
            found.push_back({promise::right_adapter, item.request + " ran on " + item.adapter});
        }
        if (!facts->second.key.empty()) {
            ++runs_by_key[facts->second.key];
        }
    }
    for (const auto& [id, facts] : requests_) {
        check_request(id, facts, runs[id], found);
    }
    for (const auto& [key, count] : runs_by_key) {
        if (count > 1) {
            found.push_back(
                {promise::at_most_once, "key " + key + " ran " + std::to_string(count) + " times"});
        }
    }
    return found;
}

std::map<std::string, int> history::outcomes() const {
    std::map<std::string, int> counts;
    for (const auto& [id, facts] : requests_) {
        ++counts[facts.has_ended ? facts.end.outcome : "open"];
    }
    return counts;
}

} // namespace lovageledge::bench
