#pragma once

#include "lovageledge/transport/transport.hpp"

#include <boost/property_tree/ptree.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovageledge {

/** Reads the fields of one INI file and collects every fault with its line and field. Not thread-safe. */
class settings_reader {
public:
    /** @param text the file; it must outlive the reader @param errors receives a line for each fault */
    settings_reader(const std::string& text, std::vector<std::string>& errors)
        : text_{text}, errors_{errors} {}

    /** Parses the text. Call it first. @returns false if the text is no INI file */
    bool parse();
    void text(const std::string& section, const std::string& key, std::string& target,
              bool is_required = false);
    void address(const std::string& section, const std::string& key, std::string& target, bool is_required);
    template <class Number>
    void number(const std::string& section, const std::string& key, Number& target, std::uint64_t minimum,
                std::uint64_t maximum) {
        const auto value = whole_number(section, key, minimum, maximum);
        target = value ? static_cast<Number>(*value) : target;
    }
    void time_ms(const std::string& section, const std::string& key, duration& target);
    /** Reads whole percents as a share from 0 to 1. */
    void share(const std::string& section, const std::string& key, double& target);
    void peers(std::map<instance_name, std::string>& target);

    /** Faults every field that was not asked for. Call it last. */
    void reject_unknown();
    /** Adds a fault. @param expected what the field should have held */
    void add_error(const std::string& section, const std::string& key, const std::string& expected);
    /** @returns a field's text; an empty field counts as missing */
    std::optional<std::string> find(const std::string& section, const std::string& key);

private:
    std::optional<std::uint64_t> whole_number(const std::string& section, const std::string& key,
                                              std::uint64_t minimum, std::uint64_t maximum);
    std::size_t line_of(const std::string& section, const std::string& key) const;

    const std::string& text_;
    std::vector<std::string>& errors_;
    boost::property_tree::ptree tree_;
    std::set<std::string> known_;
};

} // namespace lovageledge
