#pragma once

#include "lovageledge/coordination/coordination.hpp"
#include "lovageledge/transport/transport.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace lovageledge {

class instance;

/**
    HTTP API for operators: applying sheets, revision history, status, logged decisions, planned stop.

    docs/API.md lists the paths and responses. Thread-safe.
*/
class admin_api {
public:
    explicit admin_api(instance& owner) : instance_{owner} {}
    admin_api(const admin_api&) = delete;
    admin_api& operator=(const admin_api&) = delete;
    ~admin_api() = default;

    /** Handles one request. Responds with 401 unless the request carries the operator token. */
    asio::awaitable<void> handle(http_exchange& exchange);
    /** Stores the result of an apply for the request that waits for it. */
    void on_apply_finished(finish_publication command);

private:
    /** Publishes the sheet in the request body and waits for the result, for at most the apply timeout. */
    asio::awaitable<void> handle_apply(http_exchange& exchange);
    /** Responds with the latest revision records, newest first. */
    asio::awaitable<void> handle_history(http_exchange& exchange);
    /** Responds with one revision's record and its difference from the previous sheet. */
    asio::awaitable<void> handle_explain(http_exchange& exchange);
    /** @returns a record that is stored on the platform, or nothing if it can't be read */
    asio::awaitable<std::optional<protocol::RevisionRecord>> read_record(const std::string& kind,
                                                                         const std::string& name);
    /** @returns a revision's sheet, joined from its parts, or nothing if a part can't be read */
    asio::awaitable<std::optional<std::string>> read_sheet(const protocol::RevisionRecord& record);
    std::string status_json() const;

    instance& instance_;
    std::mutex mutex_;
    /** Results of applies that no request has fetched yet, by apply id. */
    std::map<std::string, finish_publication> finished_applies_;
};

} // namespace lovageledge
