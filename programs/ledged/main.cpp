#include "lovageledge/service/service.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <spdlog/spdlog.h>
#include <sstream>
#include <thread>

// The daemon: settings from one INI file, one instance, a planned stop on SIGTERM.

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_no_address = 3;

std::optional<lovageledge::daemon_settings> read_settings(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        std::fprintf(stderr, "%s: can't be read\n", path.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<std::string> errors;
    auto settings = lovageledge::parse_settings(text.str(), errors);
    for (const std::string& problem : errors) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), problem.c_str());
    }
    return settings;
}

int run(lovageledge::daemon_settings settings) {
    spdlog::set_level(spdlog::level::from_str(settings.log_level));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
    boost::asio::io_context context{static_cast<int>(settings.threads)};
    const std::uint32_t thread_count = settings.threads;
    lovageledge::instance instance{context, std::move(settings)};
    lovageledge::error why;
    if (!instance.start(why)) {
        std::fprintf(stderr, "%s\n", why.text().c_str());
        return exit_no_address;
    }
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    std::function<void(boost::system::error_code, int)> on_signal = [&](boost::system::error_code code, int) {
        if (!code) {
            instance.stop(); // A second signal changes nothing: the stop is under way.
            signals.async_wait(on_signal);
        }
    };
    signals.async_wait(on_signal);
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
    std::string path;
    bool is_check = false;
    app.add_option("--settings", path, "INI file with the instance's settings")->required();
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
    return run(std::move(*settings));
}
