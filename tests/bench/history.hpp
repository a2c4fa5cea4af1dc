#pragma once

#include "lovageledge/base/base.hpp"

#include <map>
#include <string>
#include <vector>

namespace lovageledge::bench {

/** The promises of the brief that a history is judged by. */
enum class promise : std::uint8_t {
    right_adapter,
    no_eviction_in_use,
    whole_answer,
    not_run_means_not_run,
    at_most_once,
    leaving_gets_no_work,
    planned_stop_cuts_nothing,
    configuration_never_reverts,
};
inline constexpr std::size_t promise_count = 8;
std::string promise_name(promise which);

/** How a request ended, as its caller saw it. */
struct request_end {
    std::string outcome; // done, not_run, failed, unknown, duplicate, cut
    std::string reason;
};

/**
    What callers, engines and instances did in one run, and the judgement over it.

    The engines' executions are the truth for "ran". Facts may arrive in any order; check() is called at the
    end, when nothing is under way any more.
*/
class history {
public:
    struct violation {
        promise which;
        std::string text;
    };

    void on_accepted(const std::string& request, const std::string& adapter, std::uint32_t tokens,
                     const std::string& key, bool is_idempotent);
    void on_tokens(const std::string& request, const std::vector<std::string>& tokens);
    void on_finished(const std::string& request, request_end end);
    /** An engine began to run a request on an adapter that it holds. */
    void on_execution(const std::string& request, const std::string& adapter, const std::string& server);
    /** An engine carried out an unload while requests ran or were on their way to it. */
    void on_eviction_in_use(const std::string& server, const std::string& adapter,
                            const std::string& request);
    /** An engine that leaves got new work later than allowed. */
    void on_late_work(const std::string& server, const std::string& request);
    /** An instance has a revision in force. */
    void on_revision(const std::string& instance_start, std::uint64_t revision, const std::string& digest);
    /** A planned stop cut a request off. */
    void on_cut_by_stop(const std::string& request, const std::string& instance);

    /** @returns every violation */
    std::vector<violation> check() const;
    std::size_t executions() const { return executions_.size(); }
    /** @returns the number of requests by outcome */
    std::map<std::string, int> outcomes() const;

    struct execution {
        std::string request;
        std::string adapter;
        std::string server;
    };
    struct request_facts {
        std::string adapter;
        std::uint32_t tokens = 0;
        std::string key;
        bool is_idempotent = true;
        std::vector<std::string> received;
        bool has_ended = false;
        request_end end;
    };

private:
    void check_request(const std::string& id, const request_facts& facts, int runs,
                       std::vector<violation>& found) const;

    std::map<std::string, request_facts> requests_;
    std::vector<execution> executions_;
    std::vector<violation> observed_;
    std::map<std::string, std::uint64_t> revisions_;
    std::map<std::uint64_t, std::string> digests_;
};

} // namespace lovageledge::bench
