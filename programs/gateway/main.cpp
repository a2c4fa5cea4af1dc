#include "lovageledge/gateway/gateway.hpp"
#include "lovageledge/platform/platform_session.hpp"
#include "lovageledge/platform/wire_names.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sstream>

// The gateway's daemon: settings from one INI file, a planned stop on SIGTERM, settings read anew on SIGHUP.

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_no_address = 3;
/** Lines that wait for a slow reader of the log; older ones are dropped beyond that. */
constexpr std::size_t log_queue_lines = 4096;
/** The settings file may change without a signal. */
constexpr auto settings_check_interval = std::chrono::seconds{2};

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<lovageledge::gateway_settings> read_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        std::fprintf(stderr, "%s: can't be read\n", path.c_str());
        return std::nullopt;
    }
    std::vector<std::string> errors;
    auto settings = lovageledge::parse_gateway_settings(*text, errors);
    for (const std::string& problem : errors) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), problem.c_str());
    }
    return settings;
}

void start_logging(const std::string& level) {
    spdlog::init_thread_pool(log_queue_lines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("gateway");
    spdlog::set_default_logger(logger);
    spdlog::set_level(spdlog::level::from_str(level));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
}

/** Reads the settings anew when the file's text has changed. */
class settings_watcher {
public:
    settings_watcher(boost::asio::io_context& context, std::string path,
                     lovageledge::platform::platform_session& session, lovageledge::gateway& target)
        : timer_{context}, path_{std::move(path)}, text_{read_file(path_).value_or("")}, session_{session},
          gateway_{target} {
        wait();
    }

    void check(const char* cause) {
        const auto text = read_file(path_);
        if (!text || *text == text_) {
            return;
        }
        text_ = *text;
        std::vector<std::string> errors;
        const auto settings = lovageledge::parse_gateway_settings(*text, errors);
        for (const std::string& problem : errors) {
            spdlog::error("{}: {}; the former settings stay in force", path_, problem);
        }
        if (settings) {
            session_.set_address(settings->platform_address);
            gateway_.log().write(lovageledge::event::settings_reloaded, fmt::format("cause={}", cause));
        }
    }

private:
    void wait() {
        timer_.expires_after(settings_check_interval);
        timer_.async_wait([this](boost::system::error_code code) {
            if (!code) {
                check("changed");
                wait();
            }
        });
    }

    boost::asio::steady_timer timer_;
    std::string path_;
    std::string text_;
    lovageledge::platform::platform_session& session_;
    lovageledge::gateway& gateway_;
};

int run(lovageledge::gateway_settings settings, const std::string& path) {
    start_logging(settings.log_level);
    boost::asio::io_context context{1};
    boost::asio::signal_set signals{context, SIGINT, SIGTERM, SIGHUP};
    lovageledge::platform::platform_session session{context, settings.platform_address};
    lovageledge::gateway gateway{context, std::move(settings), lovageledge::platform::make_wire_codec(),
                                 session.port()};
    lovageledge::error why;
    if (!gateway.start(why)) {
        std::fprintf(stderr, "%s\n", why.text().c_str());
        return exit_no_address;
    }
    session.start(gateway);
    settings_watcher watcher{context, path, session, gateway};
    std::function<void(boost::system::error_code, int)> on_signal = [&](boost::system::error_code code,
                                                                        int number) {
        if (code) {
            return;
        }
        if (number == SIGHUP) {
            watcher.check("signal");
        } else {
            gateway.stop([&] { context.stop(); });
        }
        signals.async_wait(on_signal);
    };
    signals.async_wait(on_signal);
    context.run();
    spdlog::shutdown();
    // Connections end with the process; what still runs must not touch objects that are being destroyed.
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"lovageledge gateway: passes callers' requests to the backend servers of a platform"};
    const char* variable = std::getenv(lovageledge::platform::wire::settings_path_variable);
    std::string path = variable == nullptr ? "" : variable;
    bool is_check = false;
    auto* option = app.add_option("--settings", path, "INI file with the settings");
    if (path.empty()) {
        option->required();
    }
    app.add_flag("--check", is_check, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    auto settings = read_settings(path);
    if (!settings) {
        return exit_bad_settings;
    }
    if (is_check) {
        std::printf("%s: settings are valid\n", path.c_str());
        return 0;
    }
    return run(std::move(*settings), path);
}
