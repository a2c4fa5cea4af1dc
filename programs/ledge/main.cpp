#include "lovageledge/state/state.hpp"
#include "lovageledge/transport/transport.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

// The operator's command line. Exit status: 0 done, 1 refused (bad sheet, conflict), 2 usage, 3 no answer.

namespace lovageledge {
namespace {

using nlohmann::json;

enum exit_status : int { exit_done = 0, exit_refused = 1, exit_usage = 2, exit_no_answer = 3 };

constexpr auto admin_timeout = std::chrono::seconds{20};

struct command_line {
    std::string address = "127.0.0.1:8301";
    std::string token;
    bool is_json = false;
    std::string file;
    std::string author;
    std::string reason;
    std::string request;
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> based_on;
    std::string apply_id;
};

std::string percent_encoded(const std::string& text) {
    std::string encoded;
    for (const unsigned char byte : text) {
        if (std::isalnum(byte) != 0 || byte == '-' || byte == '_' || byte == '.') {
            encoded.push_back(static_cast<char>(byte));
        } else {
            char escape[4];
            std::snprintf(escape, sizeof escape, "%%%02X", byte);
            encoded += escape;
        }
    }
    return encoded;
}

asio::awaitable<void> exchange(const command_line& line, http_request request,
                               std::optional<http_response>& answer, error& why) {
    http_connection connection{co_await asio::this_coro::executor};
    if (!co_await connection.open(line.address, std::chrono::seconds{2}, why)) {
        co_return;
    }
    bool has_sent = false;
    answer = co_await connection.exchange(std::move(request), admin_timeout, why, has_sent);
}

std::optional<http_response> call(const command_line& line, http::verb method, std::string target,
                                  std::string body = "") {
    asio::io_context context{1};
    http_request request{
        method, std::move(target), std::move(body), {{"Authorization", "Bearer " + line.token}}};
    std::optional<http_response> answer;
    error why;
    asio::co_spawn(context, exchange(line, std::move(request), answer, why), asio::detached);
    context.run();
    if (!answer) {
        std::fprintf(stderr, "%s\n", why.text().c_str());
    }
    return answer;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        std::fprintf(stderr, "%s: can't be read\n", path.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int report(const command_line& line, const std::optional<http_response>& answer,
           const std::function<void(const json&)>& print) {
    if (!answer) {
        return exit_no_answer;
    }
    const json body = json::parse(answer->body, nullptr, false);
    if (line.is_json) {
        std::printf("%s\n", answer->body.c_str());
    } else if (answer->is_success()) {
        print(body);
    } else {
        const std::string fallback = body.is_object() ? body.value("error", answer->body) : answer->body;
        std::fprintf(stderr, "%s\n",
                     body.is_object() ? body.value("reason", fallback).c_str() : fallback.c_str());
    }
    return answer->is_success() ? exit_done : answer->status >= 500 ? exit_no_answer : exit_refused;
}

int check_sheet(const command_line& line) {
    const auto sheet = read_file(line.file);
    if (!sheet) {
        return exit_usage;
    }
    std::vector<sheet_error> errors;
    const auto parsed = parse_sheet(*sheet, 1, errors);
    for (const sheet_error& problem : errors) {
        std::fprintf(stderr, "%s: %s\n", line.file.c_str(), problem.text().c_str());
    }
    if (!parsed) {
        return exit_refused;
    }
    std::printf("%zu adapters, %zu backend servers, %zu services, %zu plain services\n",
                parsed->adapters.size(), parsed->servers.size(), parsed->services.size(),
                parsed->plain_services.size());
    return exit_done;
}

int diff_sheet(const command_line& line) {
    const auto sheet = read_file(line.file);
    if (!sheet) {
        return exit_usage;
    }
    const auto current = call(line, http::verb::get, "/admin/sheet");
    if (!current) {
        return exit_no_answer;
    }
    for (const std::string& changed : diff_sheets(current->body, *sheet)) {
        std::printf("%s\n", changed.c_str());
    }
    return exit_done;
}

int apply_sheet(command_line line) {
    const auto sheet = read_file(line.file);
    if (!sheet) {
        return exit_usage;
    }
    if (!line.based_on) {
        const auto status = call(line, http::verb::get, "/admin/status");
        if (!status || !status->is_success()) {
            return exit_no_answer;
        }
        line.based_on = json::parse(status->body).value("revision", std::uint64_t{0});
    }
    if (line.apply_id.empty()) {
        line.apply_id = random_identifier();
    }
    const std::string target = "/admin/sheet?apply_id=" + percent_encoded(line.apply_id) +
                               "&based_on=" + std::to_string(*line.based_on) +
                               "&author=" + percent_encoded(line.author) +
                               "&reason=" + percent_encoded(line.reason);
    const auto answer = call(line, http::verb::post, target, *sheet);
    const int status = report(line, answer, [](const json& body) {
        const json& record = body["in_force"];
        std::printf("revision %s is in force, digest %s\n", record.value("revision", "?").c_str(),
                    record.value("digest", "?").c_str());
    });
    if (status == exit_no_answer) {
        std::fprintf(stderr, "the end is not known; repeat with --apply-id %s --based-on %llu\n",
                     line.apply_id.c_str(), static_cast<unsigned long long>(*line.based_on));
    }
    return status;
}

int show_history(const command_line& line) {
    return report(line, call(line, http::verb::get, "/admin/history"), [](const json& body) {
        for (const json& record : body) {
            std::printf("%-6s %-12s +%lld -%lld  %s: %s\n", record.value("revision", "?").c_str(),
                        record.value("accepted_at", "?").c_str(), record.value("lines_added", 0LL),
                        record.value("lines_removed", 0LL), record.value("author", "").c_str(),
                        record.value("reason", "").c_str());
        }
    });
}

int explain(const command_line& line) {
    const std::string target = "/admin/explain?revision=" + std::to_string(line.revision);
    return report(line, call(line, http::verb::get, target), [](const json& body) {
        std::printf(
            "revision %s\nauthor   %s\nreason   %s\naccepted %s (seconds since 1970, UTC)\ndigest   %s\n",
            body.value("revision", "?").c_str(), body.value("author", "").c_str(),
            body.value("reason", "").c_str(), body.value("accepted_at", "?").c_str(),
            body.value("digest", "").c_str());
        for (const json& changed : body["diff"]) {
            std::printf("%s\n", changed.get<std::string>().c_str());
        }
    });
}

int show_status(const command_line& line) {
    return report(line, call(line, http::verb::get, "/admin/status"), [](const json& body) {
        std::printf("%s  revision %llu  %s%s  %d requests\n", body.value("instance", "").c_str(),
                    body.value("revision", 0ULL), body.value("ready", false) ? "ready" : "not ready",
                    body.value("draining", false) ? ", draining" : "", body.value("requests", 0));
        for (const json& peer : body["peers"]) {
            std::printf("peer   %-16s revision %-6llu %s\n", peer.value("name", "").c_str(),
                        peer.value("revision", 0ULL),
                        peer.value("suspected", false)  ? "suspected"
                        : peer.value("draining", false) ? "draining"
                                                        : "live");
        }
        for (const json& server : body["servers"]) {
            std::printf("server %-16s owner %-16s epoch %-4llu %-9s %3d running %3d waiting %3zu adapters\n",
                        server.value("name", "").c_str(), server.value("owner", "").c_str(),
                        server.value("epoch", 0ULL),
                        server.value("leaving", false) ? "leaving"
                        : server.value("ready", false) ? "ready"
                                                       : "not ready",
                        server.value("running", 0), server.value("waiting", 0), server["adapters"].size());
        }
    });
}

int show_decisions(const command_line& line) {
    return report(line, call(line, http::verb::get, "/admin/why?request=" + percent_encoded(line.request)),
                  [](const json& body) {
                      for (const json& decision : body) {
                          std::printf("%s\n", decision.get<std::string>().c_str());
                      }
                  });
}

int drain(const command_line& line) {
    return report(line, call(line, http::verb::post, "/admin/drain"),
                  [](const json&) { std::printf("draining\n"); });
}

} // namespace
} // namespace lovageledge

int main(int argc, char** argv) {
    using namespace lovageledge;
    CLI::App app{"Operates lovageledge. Exit status: 0 done, 1 refused, 2 usage, 3 no answer."};
    command_line line;
    app.add_option("--address", line.address, "administration address of any instance")
        ->envname("LEDGE_ADDRESS");
    app.add_option("--token", line.token, "the operators' token")->envname("LEDGE_TOKEN");
    app.add_flag("--json", line.is_json, "print the answer as JSON");
    app.require_subcommand(1);
    auto* sheet = app.add_subcommand("sheet", "check, compare and apply sheets");
    sheet->require_subcommand(1);
    auto* check = sheet->add_subcommand("check", "read a sheet and list every fault; needs no instance");
    auto* diff = sheet->add_subcommand("diff", "show what a sheet would change");
    auto* apply = sheet->add_subcommand("apply", "put a sheet in force");
    for (auto* command : {check, diff, apply}) {
        command->add_option("file", line.file, "CSV file")->required();
    }
    apply->add_option("--author", line.author, "who answers for the change")->required();
    apply->add_option("--reason", line.reason, "why, for the board")->required();
    apply->add_option("--based-on", line.based_on,
                      "revision that the sheet was planned on; default: the one in force");
    apply->add_option("--apply-id", line.apply_id, "repeat an apply whose end is not known");
    auto* history = app.add_subcommand("history", "list the accepted sheets, newest first");
    auto* explain_command = app.add_subcommand("explain", "show who changed what and why in a revision");
    explain_command->add_option("revision", line.revision, "number of the revision")->required();
    auto* status = app.add_subcommand("status", "show peers, backend servers and the configuration in force");
    auto* why = app.add_subcommand("why", "show the decisions on a request");
    why->add_option("request", line.request, "id of the request, from the X-Request-Id header")->required();
    auto* drain_command = app.add_subcommand("drain", "begin the planned stop of the instance");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? exit_done : exit_usage;
    }
    const std::pair<CLI::App*, std::function<int()>> commands[] = {
        {check, [&] { return check_sheet(line); }},       {diff, [&] { return diff_sheet(line); }},
        {apply, [&] { return apply_sheet(line); }},       {history, [&] { return show_history(line); }},
        {explain_command, [&] { return explain(line); }}, {status, [&] { return show_status(line); }},
        {why, [&] { return show_decisions(line); }},      {drain_command, [&] { return drain(line); }},
    };
    for (const auto& [command, run] : commands) {
        if (command->parsed()) {
            return run();
        }
    }
    return exit_usage;
}
