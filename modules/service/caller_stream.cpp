#include "lovageledge/service/caller_stream.hpp"

namespace lovageledge {

void caller_stream::notify() {
    asio::post(signal_.get_executor(), [self = shared_from_this()] { self->signal_.cancel(); });
}

void caller_stream::push(std::vector<std::string> tokens) {
    {
        const std::scoped_lock lock{mutex_};
        std::move(tokens.begin(), tokens.end(), std::back_inserter(pending_.tokens));
    }
    notify();
}

void caller_stream::finish(request_result result) {
    {
        const std::scoped_lock lock{mutex_};
        pending_.result = std::move(result);
    }
    notify();
}

asio::awaitable<caller_stream::batch> caller_stream::next() {
    while (true) {
        signal_.expires_after(std::chrono::hours{24});
        {
            const std::scoped_lock lock{mutex_};
            if (!pending_.tokens.empty() || pending_.result) {
                co_return std::exchange(pending_, {});
            }
        }
        boost::system::error_code code;
        co_await signal_.async_wait(asio::redirect_error(asio::use_awaitable, code));
    }
}

std::shared_ptr<caller_stream> caller_stream_registry::add(const request_id& id,
                                                           const asio::any_io_executor& executor) {
    auto stream = std::make_shared<caller_stream>(executor);
    const std::scoped_lock lock{mutex_};
    streams_.emplace(id, stream);
    return stream;
}

std::shared_ptr<caller_stream> caller_stream_registry::find(const request_id& id) const {
    const std::scoped_lock lock{mutex_};
    const auto stream = streams_.find(id);
    return stream == streams_.end() ? nullptr : stream->second;
}

void caller_stream_registry::remove(const request_id& id) {
    const std::scoped_lock lock{mutex_};
    streams_.erase(id);
}

std::size_t caller_stream_registry::size() const {
    const std::scoped_lock lock{mutex_};
    return streams_.size();
}

} // namespace lovageledge
