#pragma once

// asio/awaitable.hpp of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace lovageledge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

} // namespace lovageledge
