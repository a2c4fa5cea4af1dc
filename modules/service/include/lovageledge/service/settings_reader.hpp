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

/**
    Reads the fields of one INI file and collects all errors, each with its line and field. Not thread-safe.

    A method that reads a field keeps the target's value if the field is missing, and adds an error if the
    value is invalid or a required field is missing.
*/
class settings_reader {
public:
    /** @param text content of the file; must outlive the reader
        @param errors receives one entry per error; must outlive the reader */
    settings_reader(const std::string& text, std::vector<std::string>& errors)
        : text_{text}, errors_{errors} {}

    /** Parses the text. Call it first. @returns false if the text is not valid INI */
    bool parse();
    /** Reads a text; an empty field counts as missing. */
    void text(const std::string& section, const std::string& key, std::string& target,
              bool is_required = false);
    /** Reads an IP address and port; an empty field counts as missing. */
    void address(const std::string& section, const std::string& key, std::string& target, bool is_required);
    /** Reads a whole number from minimum to maximum. */
    template <class Number>
    void number(const std::string& section, const std::string& key, Number& target, std::uint64_t minimum,
                std::uint64_t maximum) {
        const auto value = read_integer(section, key, minimum, maximum);
        target = value ? static_cast<Number>(*value) : target;
    }
    /** Reads a whole number of milliseconds, from 1 ms to 24 h. */
    void time_ms(const std::string& section, const std::string& key, duration& target);
    /** Reads true or false. */
    void flag(const std::string& section, const std::string& key, bool& target);
    /** Reads a whole percentage, from 1 to 100, as a fraction. */
    void share(const std::string& section, const std::string& key, double& target);
    /** Reads the [peers] section: the names of instances and their addresses. */
    void peers(std::map<instance_name, std::string>& target);

    /** Adds an error for every field that has not been read. Call it last. */
    void reject_unknown();
    /** @returns the number of errors so far */
    std::size_t error_count() const { return errors_.size(); }
    /** Adds an error. @param expected description of a valid value */
    void add_error(const std::string& section, const std::string& key, const std::string& expected);
    /** @returns the text of a field, or nothing if it is missing */
    std::optional<std::string> find(const std::string& section, const std::string& key);

private:
    std::optional<std::uint64_t> read_integer(const std::string& section, const std::string& key,
                                              std::uint64_t minimum, std::uint64_t maximum);
    std::size_t line_of(const std::string& section, const std::string& key) const;

    const std::string& text_;
    std::vector<std::string>& errors_;
    boost::property_tree::ptree tree_;
    /** Fields that have been read, as "section.key". */
    std::set<std::string> known_fields_;
};

} // namespace lovageledge
