#include "lovageledge/service/settings_reader.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <sstream>

namespace lovageledge {

using std::chrono::milliseconds;

bool settings_reader::parse() {
    std::istringstream stream{text_};
    try {
        boost::property_tree::ini_parser::read_ini(stream, tree_);
    } catch (const boost::property_tree::ini_parser_error& problem) {
        errors_.push_back("line " + std::to_string(problem.line()) + ": " + problem.message());
        return false;
    }
    return true;
}

void settings_reader::text(const std::string& section, const std::string& key, std::string& target,
                           bool is_required) {
    const auto value = find(section, key);
    if (value && !value->empty()) {
        target = *value;
    } else if (is_required) {
        add_error(section, key, "a value");
    }
}

void settings_reader::address(const std::string& section, const std::string& key, std::string& target,
                              bool is_required) {
    text(section, key, target, is_required);
    if (!target.empty() && !parse_endpoint(target)) {
        add_error(section, key, "IP address and port, as in 10.0.0.1:8000");
    }
}

std::optional<std::uint64_t> settings_reader::read_integer(const std::string& section, const std::string& key,
                                                           std::uint64_t minimum, std::uint64_t maximum) {
    const auto value = find(section, key);
    if (!value) {
        return std::nullopt;
    }
    std::uint64_t parsed = 0;
    const auto [end, problem] = std::from_chars(value->data(), value->data() + value->size(), parsed);
    const bool is_number = problem == std::errc{} && end == value->data() + value->size();
    if (!is_number || parsed < minimum || parsed > maximum) {
        add_error(section, key,
                  "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return std::nullopt;
    }
    return parsed;
}

void settings_reader::time_ms(const std::string& section, const std::string& key, duration& target) {
    constexpr std::uint64_t max_duration_ms = 24ULL * 3600 * 1000;
    std::uint64_t value =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(target).count());
    number(section, key, value, 1, max_duration_ms);
    target = milliseconds{value};
}

void settings_reader::share(const std::string& section, const std::string& key, double& target) {
    std::uint32_t percent = static_cast<std::uint32_t>(target * 100);
    number(section, key, percent, 1, 100);
    target = percent / 100.0;
}

void settings_reader::flag(const std::string& section, const std::string& key, bool& target) {
    const auto value = find(section, key);
    if (!value) {
        return;
    }
    if (*value != "true" && *value != "false") {
        add_error(section, key, "true or false");
        return;
    }
    target = *value == "true";
}

void settings_reader::peers(std::map<instance_name, std::string>& target) {
    const auto section = tree_.get_child_optional("peers");
    if (!section) {
        return;
    }
    for (const auto& [name, value] : *section) {
        known_fields_.insert(std::string{"peers."}.append(name));
        address("peers", name, target[instance_name{name}], true);
    }
}

void settings_reader::reject_unknown() {
    for (const auto& [section, fields] : tree_) {
        for (const auto& [key, value] : fields) {
            if (!known_fields_.contains(std::string{section}.append(".").append(key))) {
                add_error(section, key, "a field listed in docs/OPERATIONS.md");
            }
        }
    }
}

void settings_reader::add_error(const std::string& section, const std::string& key,
                                const std::string& expected) {
    errors_.push_back("line " + std::to_string(line_of(section, key)) + ", [" + section + "] " + key +
                      ": expected " + expected);
}

std::optional<std::string> settings_reader::find(const std::string& section, const std::string& key) {
    known_fields_.insert(section + "." + key);
    const auto child = tree_.get_child_optional(section);
    if (!child) {
        return std::nullopt;
    }
    const auto value = child->get_optional<std::string>(key);
    return value ? std::make_optional(*value) : std::nullopt;
}

// Returns the line of a field, of its section if the field is missing, or 0 if both are missing.
std::size_t settings_reader::line_of(const std::string& section, const std::string& key) const {
    std::istringstream stream{text_};
    std::string current_section;
    std::size_t section_line = 0;
    std::size_t line_number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++line_number;
        const std::size_t begin = line.find_first_not_of(" \t");
        if (begin == std::string::npos) {
            continue;
        }
        if (line[begin] == '[') {
            current_section = line.substr(begin + 1, line.find(']') - begin - 1);
            section_line = current_section == section ? line_number : section_line;
        } else if (current_section == section && line.compare(begin, key.size(), key) == 0) {
            const std::size_t after = line.find_first_not_of(" \t", begin + key.size());
            if (after != std::string::npos && line[after] == '=') {
                return line_number;
            }
        }
    }
    return section_line;
}

} // namespace lovageledge
