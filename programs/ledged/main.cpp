#include "lovageledge/base/log_format.hpp"
#include "lovageledge/service/service.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <spdlog/spdlog.h>
#include <sstream>
#include <thread>

// The daemon: runs one instance with the settings of one INI file; SIGTERM or SIGINT begins the planned stop.

namespace {

constexpr int exit_invalid_settings = 2;
constexpr int exit_start_failed = 3;

std::optional<lovageledge::daemon_settings> read_settings(const std::string& settings_path) {
    std::ifstream file{settings_path};
    if (!file) {
        std::fprintf(stderr, "%s: cannot read the file\n", settings_path.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<std::string> errors;
    auto settings = lovageledge::parse_settings(text.str(), errors);
    for (const std::string& message : errors) {
        std::fprintf(stderr, "%s: %s\n", settings_path.c_str(), message.c_str());
    }
    return settings;
}

int run(lovageledge::daemon_settings settings) {
    spdlog::set_level(spdlog::level::from_str(settings.log_level));
    spdlog::set_formatter(lovageledge::make_log_formatter());
    boost::asio::io_context context{static_cast<int>(settings.threads)};
    const std::uint32_t thread_count = settings.threads;
    lovageledge::instance instance{context, std::move(settings)};
    lovageledge::error failure;
    if (!instance.start(failure)) {
        std::fprintf(stderr, "%s\n", failure.text().c_str());
        return exit_start_failed;
    }
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    std::function<void(boost::system::error_code, int)> handle_signal = [&](boost::system::error_code code,
                                                                            int) {
        if (!code) {
            instance.stop(); // Does nothing if the stop has already begun.
            signals.async_wait(handle_signal);
        }
    };
    signals.async_wait(handle_signal);
    std::vector<std::thread> threads;
    for (std::uint32_t i = 1; i < thread_count; ++i) {
        threads.emplace_back([&] { context.run(); });
    }
    context.run();
    for (std::thread& thread : threads) {
        thread.join();
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"lovageledge: serves LoRA adapters from many engines"};
    std::string settings_path;
    bool check_only = false;
    app.add_option("--settings", settings_path, "INI file with the instance's settings")->required();
    app.add_flag("--check", check_only, "check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    auto settings = read_settings(settings_path);
    if (!settings) {
        return exit_invalid_settings;
    }
    if (check_only) {
        std::printf("%s: settings are valid\n", settings_path.c_str());
        return 0;
    }
    return run(std::move(*settings));
}
