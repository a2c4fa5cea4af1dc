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
    The HTTP interface to operators: sheets, history, status, decisions, the planned stop.

    docs/API.md lists paths and answers. Thread-safe.
*/
class admin_api {
public:
    explicit admin_api(instance& owner) : instance_{owner} {}
    admin_api(const admin_api&) = delete;
    admin_api& operator=(const admin_api&) = delete;
    ~admin_api() = default;

    /** Answers one request; without the operators' token it is refused. */
    asio::awaitable<void> handle(http_exchange& exchange);
    /** An apply has ended. */
    void on_published(finish_publication command);

private:
    asio::awaitable<void> apply(http_exchange& exchange);
    asio::awaitable<void> show_history(http_exchange& exchange);
    asio::awaitable<void> explain(http_exchange& exchange);
    asio::awaitable<std::optional<protocol::RevisionRecord>> read_record(const std::string& kind,
                                                                         const std::string& name);
    asio::awaitable<std::optional<std::string>> read_sheet(const protocol::RevisionRecord& record);
    std::string status_text() const;

    instance& instance_;
    std::mutex mutex_;
    std::map<std::string, finish_publication> finished_;
};

} // namespace lovageledge
