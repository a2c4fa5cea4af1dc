#include "lovageledge/state/sheet.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <csv.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>

namespace lovageledge {
namespace {

struct sheet_row {
    std::size_t line = 0;
    std::vector<std::string> cells;
};

struct row_collector {
    std::vector<sheet_row> rows;
    sheet_row current{1, {}};
};

void on_cell(void* bytes, std::size_t size, void* context) {
    auto* collector = static_cast<row_collector*>(context);
    collector->current.cells.emplace_back(static_cast<const char*>(bytes), size);
}

void on_row(int /*terminator*/, void* context) {
    auto* collector = static_cast<row_collector*>(context);
    const std::size_t next_line = collector->current.line + 1;
    collector->rows.push_back(std::move(collector->current));
    collector->current = {next_line, {}};
}

/** Reads one sheet; the errors of all rows are collected. */
class sheet_reader {
public:
    explicit sheet_reader(std::vector<sheet_error>& errors) : errors_{errors} {}

    void read(const sheet_row& row);
    void check_references();
    configuration take() { return std::move(result_); }

private:
    using row_handler = void (sheet_reader::*)();
    struct row_kind {
        row_handler handler;
        std::vector<std::string_view> columns;
    };

    static const std::map<std::string, row_kind, std::less<>>& row_kinds();

    const std::string& cell(std::size_t index) const { return row_->cells[index]; }
    void fail(std::size_t index, std::string expected);
    std::string required_text(std::size_t index);
    std::uint32_t number(std::size_t index, std::uint32_t minimum, std::uint32_t maximum);
    bool yes_or_no(std::size_t index);
    std::string address(std::size_t index);

    template <class Map, class Key, class Value>
    void add_unique(Map& map, const Key& key, Value value) {
        if (!map.emplace(key, std::move(value)).second) {
            fail(1, "a name that no earlier row of this kind has");
        }
    }

    void read_store();
    void read_pool();
    void read_server();
    void read_adapter();
    void read_service();
    void read_plain();

    std::vector<sheet_error>& errors_;
    const sheet_row* row_ = nullptr;
    const row_kind* kind_ = nullptr;
    configuration result_;
    std::map<std::string, sheet_error> pool_references_;
};

const std::map<std::string, sheet_reader::row_kind, std::less<>>& sheet_reader::row_kinds() {
    static const std::map<std::string, row_kind, std::less<>> kinds{
        {"store", {&sheet_reader::read_store, {"kind", "loads_per_second", "loads_in_flight"}}},
        {"pool", {&sheet_reader::read_pool, {"kind", "name", "fencing"}}},
        {"server",
         {&sheet_reader::read_server,
          {"kind", "name", "pool", "region", "data_centre", "address", "slots", "batch"}}},
        {"adapter", {&sheet_reader::read_adapter, {"kind", "name", "version", "pool", "weights_path"}}},
        {"service",
         {&sheet_reader::read_service, {"kind", "name", "token_sha256", "importance", "may_call"}}},
        {"plain", {&sheet_reader::read_plain, {"kind", "name", "address", "repeatable"}}},
    };
    return kinds;
}

void sheet_reader::fail(std::size_t index, std::string expected) {
    const std::string field = kind_ != nullptr && index < kind_->columns.size()
                                  ? std::string{kind_->columns[index]}
                                  : std::string{"kind"};
    errors_.push_back({row_->line, index + 1, field, std::move(expected)});
}

std::string sheet_reader::required_text(std::size_t index) {
    const std::string& text = cell(index);
    const bool has_control =
        std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7F; });
    if (text.empty() || has_control) {
        fail(index, "a text without control characters, not empty");
    }
    return text;
}

std::uint32_t sheet_reader::number(std::size_t index, std::uint32_t minimum, std::uint32_t maximum) {
    const std::string& text = cell(index);
    std::uint32_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = problem == std::errc{} && end == text.data() + text.size();
    if (!is_number || value < minimum || value > maximum) {
        fail(index, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return minimum;
    }
    return value;
}

bool sheet_reader::yes_or_no(std::size_t index) {
    if (cell(index) != "yes" && cell(index) != "no") {
        fail(index, "yes or no");
    }
    return cell(index) == "yes";
}

std::string sheet_reader::address(std::size_t index) {
    const std::string& text = cell(index);
    const std::size_t colon = text.rfind(':');
    const bool has_port = colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
                          std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(),
                                      [](unsigned char c) { return std::isdigit(c) != 0; });
    if (!has_port) {
        fail(index, "IP number and port, as in 10.0.0.1:8000");
    }
    return text;
}

void sheet_reader::read(const sheet_row& row) {
    row_ = &row;
    kind_ = nullptr;
    const bool is_blank = row.cells.empty() || (row.cells.size() == 1 && row.cells[0].empty());
    if (is_blank || row.cells[0].starts_with('#')) {
        return;
    }
    const auto found = row_kinds().find(row.cells[0]);
    if (found == row_kinds().end()) {
        fail(0, "one of store, pool, server, adapter, service, plain");
        return;
    }
    kind_ = &found->second;
    if (row.cells.size() != kind_->columns.size()) {
        fail(std::min(row.cells.size(), kind_->columns.size()) - 1,
             std::to_string(kind_->columns.size()) + " cells, found " + std::to_string(row.cells.size()));
        return;
    }
    (this->*kind_->handler)();
}

void sheet_reader::read_store() {
    result_.store.loads_per_second = number(1, 1, 1000);
    result_.store.loads_in_flight = number(2, 1, 1000);
}

void sheet_reader::read_pool() {
    const pool_name name{required_text(1)};
    add_unique(result_.pools, name, pool{name, yes_or_no(2)});
}

void sheet_reader::read_server() {
    const backend_server server{server_name{required_text(1)},
                                pool_name{required_text(2)},
                                region_name{required_text(3)},
                                data_centre_name{required_text(4)},
                                address(5),
                                number(6, 1, 4096),
                                number(7, 1, 4096)};
    pool_references_.emplace(server.pool.text(), sheet_error{row_->line, 3, "pool", ""});
    add_unique(result_.servers, server.name, server);
}

void sheet_reader::read_adapter() {
    const std::string name = required_text(1);
    const std::string version = required_text(2);
    if (name.find('@') != std::string::npos) {
        fail(1, "a name without @");
    }
    const adapter entry{adapter_key{name + "@" + version}, pool_name{required_text(3)}, required_text(4)};
    pool_references_.emplace(entry.pool.text(), sheet_error{row_->line, 4, "pool", ""});
    add_unique(result_.adapters, entry.key, entry);
}

void sheet_reader::read_service() {
    calling_service service{service_name{required_text(1)}, required_text(2), number(3, 1, 100), {}};
    const bool is_digest = service.token_digest.size() == 64 &&
                           service.token_digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!is_digest) {
        fail(2, "the SHA-256 of the token, 64 hexadecimal digits in lower case");
    }
    std::istringstream targets{required_text(4)};
    for (std::string target; std::getline(targets, target, ';');) {
        service.may_call.insert(target);
    }
    if (!result_.services_by_token_digest.emplace(service.token_digest, service.name).second) {
        fail(2, "a token that no earlier service has");
    }
    add_unique(result_.services, service.name, service);
}

void sheet_reader::read_plain() {
    const std::string name = required_text(1);
    add_unique(result_.plain_services, name, plain_service{name, address(2), yes_or_no(3)});
}

void sheet_reader::check_references() {
    for (auto& [name, reference] : pool_references_) {
        if (!result_.pools.contains(pool_name{name})) {
            reference.expected = "a pool that the sheet declares, found " + name;
            errors_.push_back(reference);
        }
    }
    for (const auto& [name, service] : result_.services) {
        for (const std::string& target : service.may_call) {
            const bool is_known = target == "*" || result_.pools.contains(pool_name{target}) ||
                                  result_.plain_services.contains(target);
            if (!is_known) {
                errors_.push_back({0, 5, "may_call",
                                   "pools or plain services that the sheet declares, service " + name.text() +
                                       " names " + target});
            }
        }
    }
}

std::vector<std::string> lines_of(std::string_view text) {
    std::vector<std::string> lines;
    std::istringstream stream{std::string{text}};
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace

std::string sheet_error::text() const {
    return "line " + std::to_string(line) + ", column " + std::to_string(column) + " (" + field +
           "): expected " + expected;
}

std::optional<configuration> parse_sheet(std::string_view text, revision_number revision,
                                         std::vector<sheet_error>& errors) {
    errors.clear();
    row_collector collector;
    const std::unique_ptr<csv_parser, void (*)(csv_parser*)> parser{new csv_parser, [](csv_parser* p) {
                                                                        csv_free(p);
                                                                        delete p;
                                                                    }};
    // Blank rows are kept, so that rows can be counted as lines.
    if (csv_init(parser.get(), CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0) {
        errors.push_back({0, 0, "sheet", "enough memory to read it"});
        return std::nullopt;
    }
    const bool is_parsed =
        csv_parse(parser.get(), text.data(), text.size(), on_cell, on_row, &collector) == text.size() &&
        csv_fini(parser.get(), on_cell, on_row, &collector) == 0;
    if (!is_parsed) {
        errors.push_back({collector.current.line, collector.current.cells.size() + 1, "quotes",
                          "quotes in pairs, around whole cells"});
    }
    sheet_reader reader{errors};
    for (const sheet_row& row : collector.rows) {
        reader.read(row);
    }
    reader.check_references();
    if (!errors.empty()) {
        std::stable_sort(errors.begin(), errors.end(),
                         [](const sheet_error& a, const sheet_error& b) { return a.line < b.line; });
        return std::nullopt;
    }
    configuration result = reader.take();
    result.revision = revision;
    return result;
}

std::vector<std::string> diff_sheets(std::string_view before, std::string_view after) {
    const std::vector<std::string> old_lines = lines_of(before);
    const std::vector<std::string> new_lines = lines_of(after);
    const std::set<std::string> old_set{old_lines.begin(), old_lines.end()};
    const std::set<std::string> new_set{new_lines.begin(), new_lines.end()};
    std::vector<std::string> difference;
    for (const std::string& line : old_lines) {
        if (!new_set.contains(line)) {
            difference.push_back("-" + line);
        }
    }
    for (const std::string& line : new_lines) {
        if (!old_set.contains(line)) {
            difference.push_back("+" + line);
        }
    }
    return difference;
}

} // namespace lovageledge
