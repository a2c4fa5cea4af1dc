#include "lovageledge/transport/log_exception.hpp"

#include <spdlog/spdlog.h>

namespace lovageledge {

std::function<void(std::exception_ptr)> log_exception(const char* step) {
    return [step](std::exception_ptr thrown) {
        if (!thrown) {
            return;
        }
        try {
            std::rethrow_exception(std::move(thrown));
        } catch (const std::exception& exception) {
            spdlog::error("{}: ended by an exception: {}", step, exception.what());
        }
    };
}

} // namespace lovageledge
