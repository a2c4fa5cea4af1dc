#pragma once

#include "lovageledge/base/base.hpp"

#include <map>
#include <string>
#include <vector>

namespace lovageledge::bench {

/** The guarantees that a history is checked against. */
enum class guarantee : std::uint8_t {
    /** A request runs on the adapter that it names. */
    correct_adapter,
    /** No adapter is evicted while a request runs on it or is on its way to it. */
    no_eviction_in_use,
    /** The tokens of a response come from one run, in order, and all of them if the request is done. */
    complete_response,
    /** A request that is reported as not run has not run. */
    not_run_is_truthful,
    /** A request that is not idempotent runs at most once; so do all requests with one idempotency key. */
    at_most_once,
    /** A leaving server gets no new work. */
    no_work_for_leaving_server,
    /** A planned stop of an instance aborts no request. */
    planned_stop_aborts_nothing,
    /** A running instance never goes back to an older revision, and each revision has one content. */
    monotonic_configuration,
};
inline constexpr std::size_t guarantee_count = 8;
std::string guarantee_name(guarantee which);

/** How a request ended, as its caller saw it. */
struct request_end {
    std::string outcome; // done, not_run, failed, unknown, duplicate, cut
    std::string reason;
};

/**
    Records what callers, engines and instances did in one simulation run and checks it against the
    guarantees.

    A request counts as run if an engine executed it. Events of different requests may be recorded in any
    order; check() is meant for the end of the run, when no request is open any more.
*/
class history {
public:
    struct violation {
        guarantee which;
        std::string text;
    };

    /** Records a request that a caller submitted.
        @param tokens number of tokens of a complete response
        @param key idempotency key, or empty */
    void on_accepted(const std::string& request, const std::string& adapter, std::uint32_t tokens,
                     const std::string& key, bool is_idempotent);
    /** Records tokens that were delivered to the caller. */
    void on_tokens(const std::string& request, const std::vector<std::string>& tokens);
    void on_finished(const std::string& request, request_end end);
    /** Records that an engine began to run a request on an adapter that it holds. */
    void on_execution(const std::string& request, const std::string& adapter, const std::string& server);
    /** Records that an engine unloaded an adapter while a request ran on it or was on its way to it. */
    void on_eviction_in_use(const std::string& server, const std::string& adapter,
                            const std::string& request);
    /** Records that a leaving server got new work later than allowed. */
    void on_late_work(const std::string& server, const std::string& request);
    /** Records that an instance has a revision in force.
        @param digest identifies the revision's content */
    void on_revision(const std::string& instance_start, std::uint64_t revision, const std::string& digest);
    /** Records that a planned stop aborted a request. */
    void on_aborted_by_stop(const std::string& request, const std::string& instance);

    /** @returns all violations of the guarantees */
    std::vector<violation> check() const;
    std::size_t executions() const { return executions_.size(); }
    /** @returns the number of requests by outcome */
    std::map<std::string, int> outcomes() const;

    struct execution {
        std::string request;
        std::string adapter;
        std::string server;
    };
    struct request_record {
        std::string adapter;
        std::uint32_t tokens = 0;
        std::string key;
        bool is_idempotent = true;
        std::vector<std::string> received;
        bool has_ended = false;
        request_end end;
    };

private:
    void check_request(const std::string& id, const request_record& record, int runs,
                       std::vector<violation>& found) const;

    std::map<std::string, request_record> requests_;
    std::vector<execution> executions_;
    std::vector<violation> reported_violations_;
    std::map<std::string, std::uint64_t> revisions_;
    std::map<std::uint64_t, std::string> digests_;
};

} // namespace lovageledge::bench
