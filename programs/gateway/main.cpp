#include "lovageledge/base/log_format.hpp"
#include "lovageledge/gateway/gateway.hpp"
#include "lovageledge/platform/platform_session.hpp"
#include "lovageledge/platform/wire_names.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <malloc.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sstream>

// The gateway daemon. Reads its settings from an INI file, shuts down gracefully on SIGTERM or SIGINT, and
// reloads the settings on SIGHUP or when the file has changed.

namespace {

constexpr int exit_bad_settings = 2;
/** An address could not be bound. */
constexpr int exit_no_address = 3;
/** Capacity of the asynchronous log queue; when it is full, the oldest lines are dropped. */
constexpr std::size_t log_queue_lines = 4096;
/** Interval at which the settings file is checked for changes that no signal announces. */
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
    for (const std::string& message : errors) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), message.c_str());
    }
    return settings;
}

void start_logging(const std::string& level) {
    spdlog::init_thread_pool(log_queue_lines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("gateway");
    spdlog::set_default_logger(logger);
    spdlog::set_level(spdlog::level::from_str(level));
    spdlog::set_formatter(lovageledge::make_log_formatter());
}

/** Reloads the settings when the file's text has changed. Only the platform's address takes effect without a
    restart. */
class settings_watcher {
public:
    settings_watcher(boost::asio::io_context& context, std::string path,
                     lovageledge::platform::platform_session& session, lovageledge::gateway& target)
        : timer_{context}, path_{std::move(path)}, text_{read_file(path_).value_or("")}, session_{session},
          gateway_{target} {
        schedule_check();
    }

    /** Reloads the settings if the text has changed. @param cause for the log: "signal" or "changed" */
    void reload_if_changed(const char* cause) {
        const auto text = read_file(path_);
        if (!text || *text == text_) {
            return;
        }
        text_ = *text;
        std::vector<std::string> errors;
        const auto settings = lovageledge::parse_gateway_settings(*text, errors);
        for (const std::string& message : errors) {
            spdlog::error("{}: {}; the former settings stay in force", path_, message);
        }
        if (settings) {
            session_.set_address(settings->platform_address);
            gateway_.log().write(lovageledge::event::settings_reloaded, fmt::format("cause={}", cause));
        }
    }

private:
    void schedule_check() {
        timer_.expires_after(settings_check_interval);
        timer_.async_wait([this](boost::system::error_code code) {
            if (!code) {
                reload_if_changed("changed");
                schedule_check();
            }
        });
    }

    boost::asio::steady_timer timer_;
    std::string path_;
    std::string text_;
    lovageledge::platform::platform_session& session_;
    lovageledge::gateway& gateway_;
};

/** Runs the handlers until the context is stopped. One that throws ends alone: the requests that others serve
    must not end with it. */
void run_until_stopped(boost::asio::io_context& context) {
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& exception) {
            spdlog::error("gateway: a handler ended by an exception: {}", exception.what());
        }
    }
}

/** Lets the allocator return large blocks to the system when they are freed. By default, freeing one raises
    the threshold up to 32 MB, and the memory of former bodies stays with the process. */
void bound_allocator() {
    constexpr int mapped_bytes = 64 * 1024;
    constexpr int kept_bytes = 256 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, mapped_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_bytes);
    ::mallopt(M_ARENA_MAX, 1);
}

int run(lovageledge::gateway_settings settings, const std::string& path) {
    start_logging(settings.log_level);
    boost::asio::io_context context{1};
    boost::asio::signal_set signals{context, SIGINT, SIGTERM, SIGHUP};
    lovageledge::platform::platform_session session{
        context,
        settings.platform_address,
        {settings.leaving_limit, settings.configuration_reading_limit(), settings.version_limit}};
    lovageledge::gateway gateway{context, std::move(settings), lovageledge::platform::make_wire_codec(),
                                 session.port()};
    lovageledge::error failure;
    if (!gateway.start(failure)) {
        spdlog::critical("{}; the process ends", failure.text());
        spdlog::shutdown();
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
            watcher.reload_if_changed("signal");
        } else {
            gateway.stop([&] { context.stop(); });
        }
        signals.async_wait(on_signal);
    };
    signals.async_wait(on_signal);
    run_until_stopped(context);
    spdlog::shutdown();
    // Skips destructors: suspended coroutines must not access objects that are already destroyed. The system
    // closes the connections.
    std::_Exit(0);
}

/** What a deployment says about client accounts in place of the settings file. A deployment without accounts
    has no values for it, and an empty variable leaves the setting as it is. */
struct account_settings {
    std::optional<double> cap_window_s;
    std::optional<double> cap_tolerance;
    std::optional<double> cap_slack;
    std::optional<bool> is_revocation_strict;
    std::optional<std::uint32_t> revocation_limit_ms;
};

/** Adds the options to the command line. @returns their values, which are set when it is parsed */
std::unique_ptr<account_settings> add_account_options(CLI::App& app) {
    auto values = std::make_unique<account_settings>();
    app.add_option("--cap-window-s", values->cap_window_s, "[caps] window_s")
        ->envname("LEDGE_CAP_WINDOW_S")
        ->check(CLI::Range(1.0, 3600.0));
    app.add_option("--cap-tolerance", values->cap_tolerance, "[caps] tolerance")
        ->envname("LEDGE_CAP_TOLERANCE")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--cap-slack", values->cap_slack, "[caps] slack")
        ->envname("LEDGE_CAP_SLACK")
        ->check(CLI::Range(0.0, 1e12));
    app.add_option("--revocation-strict", values->is_revocation_strict, "[bounds] revocation_strict")
        ->envname("LEDGE_REVOCATION_STRICT");
    app.add_option("--revocation-limit-ms", values->revocation_limit_ms, "[bounds] revocation_limit_ms")
        ->envname("LEDGE_REVOCATION_LIMIT_MS");
    return values;
}

void apply(const account_settings& values, lovageledge::gateway_settings& settings) {
    if (values.cap_window_s) {
        settings.caps.window = std::chrono::duration_cast<lovageledge::duration>(
            std::chrono::duration<double>{*values.cap_window_s});
    }
    settings.caps.tolerance = values.cap_tolerance.value_or(settings.caps.tolerance);
    settings.caps.slack = values.cap_slack.value_or(settings.caps.slack);
    settings.is_revocation_strict = values.is_revocation_strict.value_or(settings.is_revocation_strict);
    if (values.revocation_limit_ms) {
        settings.revocation_limit = std::chrono::milliseconds{*values.revocation_limit_ms};
    }
}

} // namespace

int main(int argc, char** argv) {
    bound_allocator();
    CLI::App app{"lovageledge gateway: passes callers' requests to the backend servers of a platform"};
    const char* variable = std::getenv(lovageledge::platform::wire::settings_path_variable);
    std::string path = variable == nullptr ? "" : variable;
    bool is_check_only = false;
    auto* option = app.add_option("--settings", path, "INI file with the settings");
    if (path.empty()) {
        option->required();
    }
    std::optional<std::uint32_t> memory_mb;
    app.add_option("--memory-mb", memory_mb,
                   "memory of this process in MB, instead of the one in the settings")
        ->envname("LEDGE_MEMORY_MB")
        ->check(CLI::Range(lovageledge::gateway_settings::min_memory_mb,
                           lovageledge::gateway_settings::max_memory_mb));
    const auto accounts = add_account_options(app);
    app.add_flag("--check", is_check_only, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    auto settings = read_settings(path);
    if (!settings) {
        return exit_bad_settings;
    }
    settings->memory_mb = memory_mb.value_or(settings->memory_mb);
    apply(*accounts, *settings);
    if (is_check_only) {
        std::printf("%s: settings are valid\n", path.c_str());
        return 0;
    }
    return run(std::move(*settings), path);
}
