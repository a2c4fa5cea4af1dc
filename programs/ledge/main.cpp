#include "lovageledge/state/state.hpp"
#include "lovageledge/transport/transport.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

// The operators' command-line tool, a client of an instance's administration API.

namespace lovageledge {
namespace {

using nlohmann::json;

enum exit_status : int {
    exit_success = 0,
    /** The sheet is invalid, the revision conflicts, or the instance rejected the request otherwise. */
    exit_rejected = 1,
    /** Invalid arguments, or the sheet's file cannot be read. */
    exit_usage_error = 2,
    /** No response, or a server error (5xx). A change may have taken effect. */
    exit_no_response = 3
};

constexpr auto response_timeout = std::chrono::seconds{20};

/** Options and arguments of all subcommands. */
struct command_options {
    std::string address = "127.0.0.1:8301";
    std::string token;
    bool json_output = false;
    std::string sheet_path;
    std::string author;
    std::string reason;
    std::string requested_id;
    std::uint64_t revision = 0;
    std::optional<std::uint64_t> based_on;
    /** Makes a repeated apply safe; chosen at random if it is empty. */
    std::string apply_id;
};

/** Sends one request on a connection of its own.
    @param response left empty on failure @param failure receives the reason */
asio::awaitable<void> exchange_request(const command_options& options, http_request request,
                                       std::optional<http_response>& response, error& failure) {
    http_connection connection{co_await asio::this_coro::executor};
    if (!co_await connection.open(options.address, std::chrono::seconds{2}, failure)) {
        co_return;
    }
    bool has_sent = false;
    response = co_await connection.exchange(std::move(request), response_timeout, failure, has_sent);
}

/** Sends a request to the administration API and waits for the response.
    @returns nothing, after printing the reason, if there was none */
std::optional<http_response> send_request(const command_options& options, http::verb method,
                                          std::string target, std::string body = "") {
    asio::io_context context{1};
    http_request request{
        method, std::move(target), std::move(body), {{"Authorization", "Bearer " + options.token}}};
    std::optional<http_response> response;
    error failure;
    asio::co_spawn(context, exchange_request(options, std::move(request), response, failure), asio::detached);
    context.run();
    if (!response) {
        std::fprintf(stderr, "%s\n", failure.text().c_str());
    }
    return response;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        std::fprintf(stderr, "%s: cannot read the file\n", path.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Prints a response as JSON, through a function, or as an error. @returns the exit status */
int print_response(const command_options& options, const std::optional<http_response>& response,
                   const std::function<void(const json&)>& print_body) {
    if (!response) {
        return exit_no_response;
    }
    const json body = json::parse(response->body, nullptr, false);
    if (options.json_output) {
        std::printf("%s\n", response->body.c_str());
    } else if (response->is_success()) {
        print_body(body);
    } else {
        const std::string error_text =
            body.is_object() ? body.value("error", response->body) : response->body;
        std::fprintf(stderr, "%s\n",
                     body.is_object() ? body.value("reason", error_text).c_str() : error_text.c_str());
    }
    return response->is_success() ? exit_success : response->status >= 500 ? exit_no_response : exit_rejected;
}

int check_sheet(const command_options& options) {
    const auto sheet = read_file(options.sheet_path);
    if (!sheet) {
        return exit_usage_error;
    }
    std::vector<sheet_error> errors;
    const auto parsed = parse_sheet(*sheet, 1, errors);
    for (const sheet_error& sheet_problem : errors) {
        std::fprintf(stderr, "%s: %s\n", options.sheet_path.c_str(), sheet_problem.text().c_str());
    }
    if (!parsed) {
        return exit_rejected;
    }
    std::printf("%zu adapters, %zu backend servers, %zu services, %zu plain services\n",
                parsed->adapters.size(), parsed->servers.size(), parsed->services.size(),
                parsed->plain_services.size());
    return exit_success;
}

int show_sheet_diff(const command_options& options) {
    const auto sheet = read_file(options.sheet_path);
    if (!sheet) {
        return exit_usage_error;
    }
    const auto current = send_request(options, http::verb::get, "/admin/sheet");
    if (!current) {
        return exit_no_response;
    }
    for (const std::string& diff_line : diff_sheets(current->body, *sheet)) {
        std::printf("%s\n", diff_line.c_str());
    }
    return exit_success;
}

int apply_sheet(command_options options) {
    const auto sheet = read_file(options.sheet_path);
    if (!sheet) {
        return exit_usage_error;
    }
    if (!options.based_on) {
        const auto status = send_request(options, http::verb::get, "/admin/status");
        if (!status || !status->is_success()) {
            return exit_no_response;
        }
        options.based_on = json::parse(status->body).value("revision", std::uint64_t{0});
    }
    if (options.apply_id.empty()) {
        options.apply_id = random_identifier();
    }
    const std::string target = "/admin/sheet?apply_id=" + percent_encoded(options.apply_id) +
                               "&based_on=" + std::to_string(*options.based_on) +
                               "&author=" + percent_encoded(options.author) +
                               "&reason=" + percent_encoded(options.reason);
    const auto response = send_request(options, http::verb::post, target, *sheet);
    const int status = print_response(options, response, [](const json& body) {
        const json& record = body["in_force"];
        std::printf("revision %s is in force, digest %s\n", record.value("revision", "?").c_str(),
                    record.value("digest", "?").c_str());
    });
    if (status == exit_no_response) {
        std::fprintf(stderr,
                     "the outcome is unknown; repeat the command with --apply-id %s --based-on %llu\n",
                     options.apply_id.c_str(), static_cast<unsigned long long>(*options.based_on));
    }
    return status;
}

int show_history(const command_options& options) {
    return print_response(
        options, send_request(options, http::verb::get, "/admin/history"), [](const json& body) {
            for (const json& record : body) {
                std::printf("%-6s %-12s +%lld -%lld  %s: %s\n", record.value("revision", "?").c_str(),
                            record.value("accepted_at", "?").c_str(), record.value("lines_added", 0LL),
                            record.value("lines_removed", 0LL), record.value("author", "").c_str(),
                            record.value("reason", "").c_str());
            }
        });
}

int explain_revision(const command_options& options) {
    const std::string target = "/admin/explain?revision=" + std::to_string(options.revision);
    return print_response(options, send_request(options, http::verb::get, target), [](const json& body) {
        std::printf(
            "revision %s\nauthor   %s\nreason   %s\naccepted %s (seconds since 1970, UTC)\ndigest   %s\n",
            body.value("revision", "?").c_str(), body.value("author", "").c_str(),
            body.value("reason", "").c_str(), body.value("accepted_at", "?").c_str(),
            body.value("digest", "").c_str());
        for (const json& diff_line : body["diff"]) {
            std::printf("%s\n", diff_line.get<std::string>().c_str());
        }
    });
}

int show_status(const command_options& options) {
    return print_response(
        options, send_request(options, http::verb::get, "/admin/status"), [](const json& body) {
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
                std::printf(
                    "server %-16s owner %-16s epoch %-4llu %-9s %3d running %3d waiting %3zu adapters\n",
                    server.value("name", "").c_str(), server.value("owner", "").c_str(),
                    server.value("epoch", 0ULL),
                    server.value("leaving", false) ? "leaving"
                    : server.value("ready", false) ? "ready"
                                                   : "not ready",
                    server.value("running", 0), server.value("waiting", 0), server["adapters"].size());
            }
        });
}

int show_request_decisions(const command_options& options) {
    return print_response(
        options,
        send_request(options, http::verb::get, "/admin/why?request=" + percent_encoded(options.requested_id)),
        [](const json& body) {
            for (const json& decision : body) {
                std::printf("%s\n", decision.get<std::string>().c_str());
            }
        });
}

int begin_drain(const command_options& options) {
    return print_response(options, send_request(options, http::verb::post, "/admin/drain"),
                          [](const json&) { std::printf("draining\n"); });
}

} // namespace
} // namespace lovageledge

int main(int argc, char** argv) {
    using namespace lovageledge;
    CLI::App app{
        "Administers lovageledge. Exit status: 0 success, 1 rejected, 2 usage error, 3 no response."};
    command_options options;
    app.add_option("--address", options.address, "administration address of any instance")
        ->envname("LEDGE_ADDRESS");
    app.add_option("--token", options.token, "the operators' token")->envname("LEDGE_TOKEN");
    app.add_flag("--json", options.json_output, "print the response as JSON");
    app.require_subcommand(1);
    auto* sheet = app.add_subcommand("sheet", "check, compare and apply sheets");
    sheet->require_subcommand(1);
    auto* check = sheet->add_subcommand("check", "list every error of a sheet; needs no instance");
    auto* diff = sheet->add_subcommand("diff", "show what a sheet would change");
    auto* apply = sheet->add_subcommand("apply", "put a sheet in force");
    for (auto* command : {check, diff, apply}) {
        command->add_option("file", options.sheet_path, "sheet, a CSV file")->required();
    }
    apply->add_option("--author", options.author, "person responsible for the change")->required();
    apply->add_option("--reason", options.reason, "reason for the change, recorded for the board")
        ->required();
    apply->add_option("--based-on", options.based_on,
                      "revision that the sheet is based on; default: the revision in force");
    apply->add_option("--apply-id", options.apply_id,
                      "id of an earlier apply whose outcome is unknown, to repeat it safely");
    auto* history = app.add_subcommand("history", "list the accepted sheets, newest first");
    auto* explain_command = app.add_subcommand("explain", "show who changed what and why in a revision");
    explain_command->add_option("revision", options.revision, "number of the revision")->required();
    auto* status = app.add_subcommand("status", "show peers, backend servers and the configuration in force");
    auto* why_command = app.add_subcommand("why", "show the decisions made for a request");
    why_command
        ->add_option("request", options.requested_id, "id of the request, from the X-Request-Id header")
        ->required();
    auto* drain_command = app.add_subcommand("drain", "begin the planned stop of the instance");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& parse_error) {
        return app.exit(parse_error) == 0 ? exit_success : exit_usage_error;
    }
    const std::pair<CLI::App*, std::function<int()>> commands[] = {
        {check, [&] { return check_sheet(options); }},
        {diff, [&] { return show_sheet_diff(options); }},
        {apply, [&] { return apply_sheet(options); }},
        {history, [&] { return show_history(options); }},
        {explain_command, [&] { return explain_revision(options); }},
        {status, [&] { return show_status(options); }},
        {why_command, [&] { return show_request_decisions(options); }},
        {drain_command, [&] { return begin_drain(options); }},
    };
    for (const auto& [command, run] : commands) {
        if (command->parsed()) {
            return run();
        }
    }
    return exit_usage_error;
}
