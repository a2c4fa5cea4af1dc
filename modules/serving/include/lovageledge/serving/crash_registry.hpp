#pragma once

#include "lovageledge/serving/closed_responses.hpp"
#include "lovageledge/serving/crash_suspect.hpp"
#include "lovageledge/serving/success_registry.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** A server's start whose answer to a request broke off, as if the request had crashed the server. */
struct crash_sighting {
    crash_suspect suspect;
    server_start_id server_start;
    time_point seen_at{};
    /** The platform has dropped the server's entry. */
    bool has_ended = false;
    /** Time from sending the request to the end of the answer; the shortest if several requests broke off. */
    duration ran_for{};
};

/** Sightings that no longer count. */
struct withdrawn_sighting {
    crash_suspect suspect;
    server_start_id server_start;
    /** What withdrew it, a word for the log. */
    std::string_view reason;
    /** How many servers still seem to have ended under the suspect. */
    std::uint32_t remaining_crashes = 0;
};

/** What the platform lists, as far as it is known. */
struct server_view {
    /** Since when the list has been read without interruption. */
    time_point current_since{};
    std::set<server_start_id> listed_starts;
};

/** Which gateway of how many asks for a trial. */
struct trial_candidate {
    std::string_view gateway;
    std::size_t gateway_count = 1;
};

/**
    Finds what crashes servers, copies of a request or parts of prompts, from what all gateways see.

    Each request that breaks off brings its suspects: itself and the parts of its prompt. A sighting is a set
    element: the same crash counts once, however many gateways saw it and however often they tell each other.
    A lost answer looks like a crash at first, so a sighting is withdrawn if its server turns out to live: it
    answers on a connection that was open before, or the platform still lists it although the list has been
    read for long enough to show its end.

    One end of a server breaks all its requests, so that most suspects are innocent. Successful runs at any
    gateway tell them apart. A part that crashes servers does so in each request, so a success clears it of
    all crashes before. Copies may look like sound requests, so a success weighs less for them: a request is
    not refused if its runs mostly succeed, or if suspects without a success explain its crashes.

    A refused suspect can't succeed any more. A request with a single refused suspect is therefore tried now
    and then, by about one gateway at a time: soon if the suspect may well be sound, and more and more rarely
    if it goes on to crash servers.

    Not thread-safe.
*/
class crash_registry {
public:
    /** @param crash_limit server starts that may end under a suspect before it is refused; at least 2 */
    explicit crash_registry(std::uint32_t crash_limit) : crash_limit_{crash_limit} {}

    /** Sets a function that is called for sightings that no longer count, once the registry has been updated.
        It must not use the registry. */
    void set_on_withdrawn(std::function<void(const withdrawn_sighting&)> callback) {
        on_withdrawn_ = std::move(callback);
    }

    /** Records that a server's answer broke off or did not come.
        @param ran_for time since the request was sent
        @returns true if the suspect is refused from now on because of it */
    bool on_broken(const crash_suspect& suspect, const server_start_id& server_start, time_point now,
                   duration ran_for = {});
    /** Merges a peer's sighting. @param seen its time is on this gateway's clock
        @returns true if the suspect is refused from now on because of it */
    bool on_report(const crash_sighting& seen, time_point now);
    /** Records that a server has answered a request.
        @param connected_at when the connection was opened; the next start of a server under the same name
                            can't answer on a connection of the former one
        @param sent_at when that request was sent */
    void on_answered(const server_start_id& server_start, time_point connected_at, time_point sent_at);
    /** Records that a server has run a request to its end, with success. */
    void on_completed(const crash_suspect& suspect, time_point now);
    /** Records a response whose end only its connection's end tells. It counts as a success once the server
        turns out to live, and as a crash if other answers of the server break off at the same time. */
    void on_closed(closed_response response);
    /** Records that a server has sent a part of an answer. @param connected_at as for on_answered() */
    void on_received(const server_start_id& server_start, time_point connected_at, time_point now);
    /** Merges what another gateway knows of a suspect's successful runs.
        @param source whose runs they are; its former report is replaced
        @param success its time is on this gateway's clock */
    void on_success_report(success_scope scope, const std::string& source, const suspect_success& success,
                           time_point now);
    /** Decides the sightings that are due and discards outdated ones.
        @param view returns what the platform lists, or nothing while that can't be read; called only if
                    needed */
    void on_tick(time_point now, const std::function<std::optional<server_view>()>& view);

    /** @returns the number of servers that seem to have ended under a suspect */
    std::uint32_t crashes(const crash_suspect& suspect) const;
    /** @returns true if requests with this suspect must not reach another server, but for trials */
    bool is_refused(const crash_suspect& suspect) const;
    /** @returns the first refused one of a request's suspects, or nothing */
    std::optional<crash_suspect> find_refused(const std::vector<crash_suspect>& suspects) const;
    /** Decides whether a request that is to be refused may run nevertheless, to find out whether its suspect
        is to blame. If it breaks off, it must not be sent again. */
    bool begin_trial(const std::vector<crash_suspect>& suspects, const trial_candidate& candidate,
                     time_point now);

    /** Which sightings to tell peers. */
    enum class report_scope : std::uint8_t {
        /** Recent ones, and all of suspects that are refused. */
        standing,
        /** Recent ones only. */
        recent,
        /** Own ones of the last moments, if the same suspect has been seen before. */
        urgent,
    };
    /** @returns the sightings that are due to be told, at most as many as fit into one message: those of
        suspects without a success first, then by the number of crashes, newest first */
    std::vector<crash_sighting> reports(report_scope scope, time_point now) const;
    /** @returns the successful runs of what has been suspected lately, at most as many as fit into one
        message */
    std::vector<suspect_success> success_reports(success_scope scope, time_point now) const;
    /** @returns the sightings of all refused suspects, in a constant order, at most as many as fit into one
        message */
    std::vector<crash_sighting> refused_sightings() const;
    /** Makes all sightings of the last minute due again, for peers that may have missed them. */
    void report_again(time_point now);

    /** @returns the number of sightings that count */
    std::size_t size() const;
    /** @returns how many sightings peers have told first, of suspects that had been seen before */
    std::uint64_t told_repetitions() const { return told_repetitions_; }

private:
    enum class server_state : std::uint8_t {
        unknown,
        /** It has answered since, or is listed although its end would be known. */
        living,
        ended,
    };
    struct sighting {
        time_point seen_at{};
        duration ran_for{};
        /** When it became known here, or due to be told again. */
        time_point known_at{};
        bool is_own = false;
        server_state state = server_state::unknown;
        /** If it lives: when that was known last. */
        time_point lived_at{};
    };
    using sightings = std::map<server_start_id, sighting>;
    struct suspect_record {
        sightings seen;
        /** The last trial at this gateway. */
        time_point tried_at{};
    };
    struct answer {
        time_point connected_at{};
        time_point sent_at{};
    };
    bool add(const crash_sighting& seen, time_point now, bool is_own);
    /** Merges a sighting that is known already. @returns true if this changes it */
    bool merge(sighting& known, const sighting& told);
    void withdraw(const crash_suspect& suspect, const server_start_id& server_start, std::string_view reason);
    /** @returns when a part last succeeded, which refutes all sightings before */
    std::optional<time_point> last_success_of_part(const crash_suspect& suspect) const;
    static bool counts(const sighting& seen, std::optional<time_point> last_success);
    /** @returns the sightings that count, oldest first */
    std::vector<crash_sighting> counted(const crash_suspect& suspect) const;
    /** @returns the crashes that a peer needs to decide as this gateway does, if there are many */
    static std::vector<crash_sighting> bounded(std::vector<crash_sighting> crashes);
    /** Decides a sighting by the platform's list, if that is possible. */
    static void decide(sighting& seen, const server_start_id& server_start, time_point now,
                       const server_view& view);
    void decide_and_expire(time_point now, const server_view* view);
    /** Counts responses that turned out to be complete as successes. */
    void complete(const std::vector<closed_response>& responses, time_point now);
    /** Discards what matters least, so that sightings can be added. */
    void make_room();

    bool has_succeeded(const crash_suspect& suspect) const {
        return successes_.last_success(suspect).has_value();
    }
    /** Withdraws the sightings of a part that a success at some gateway refutes. */
    void apply_last_success(const crash_suspect& suspect, std::optional<time_point> former);

    /** Decides again which suspects are refused, if the evidence has changed. */
    void refresh_refused() const;
    bool is_to_be_refused(const crash_suspect& suspect, const std::vector<crash_sighting>& crashes) const;
    /** @returns true if the suspect has succeeded and another one without a success was on the server too */
    bool is_explained_by_another(const crash_sighting& seen) const;
    /** @returns the time from a refused suspect's last crash to the next trial, or nothing if there is none
     */
    std::optional<duration> trial_delay(const crash_suspect& suspect, std::size_t rounds) const;
    /** @returns true if a sighting is due to be told. @param crashes the suspect's */
    bool is_due(const crash_sighting& seen, std::size_t crashes, report_scope scope, time_point now) const;

    std::uint32_t crash_limit_;
    std::function<void(const withdrawn_sighting&)> on_withdrawn_ = [](const withdrawn_sighting&) {};
    std::map<crash_suspect, suspect_record> suspects_;
    /** Suspects with sightings of several server starts. */
    std::set<crash_suspect> repeated_;
    /** Suspects with a single sighting that is still to be told. */
    std::set<crash_suspect> fresh_;
    /** Suspects with a sighting of a server start. */
    std::map<server_start_id, std::set<crash_suspect>> by_server_start_;
    /** The latest answer of each server start. */
    std::map<server_start_id, answer> answers_;
    success_registry successes_;
    closed_responses closed_responses_;
    /** The refused suspects. True if no other one explains enough of its crashes. */
    mutable std::map<crash_suspect, bool> refused_;
    /** Server starts with a repeated suspect that has never succeeded. */
    mutable std::set<server_start_id> explained_starts_;
    mutable bool is_refused_current_ = true;
    /** The time of the last change, for the age of what others have told. */
    time_point now_{};
    std::size_t sighting_count_ = 0;
    std::uint64_t told_repetitions_ = 0;
    time_point next_decision_ = time_point::max();
    time_point next_cleanup_{};
};

} // namespace lovageledge
