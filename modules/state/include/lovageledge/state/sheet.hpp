#pragma once

#include "lovageledge/state/configuration.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** A fault in a sheet: where it is and what was expected there. */
struct sheet_error {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string field;
    std::string expected;

    /** @returns "line 3, column 2 (version): expected ..." */
    std::string text() const;
};

/**
    Reads the CSV sheet that operators export.

    The first cell of a row is its kind; docs/SHEET.md lists the columns of each kind. All errors are
    reported, not only the first, and a sheet with any error gives no configuration.

    @param text the sheet
    @param revision the number that the configuration is to carry
    @param errors receives every error in the order of lines; cleared first
    @returns the configuration, or nothing if there are errors. Thread-safe.
*/
std::optional<configuration> parse_sheet(std::string_view text, revision_number revision,
                                         std::vector<sheet_error>& errors);

/** @returns the lines that differ between two sheets, removed ones behind "-", added ones behind "+".
    Thread-safe. */
std::vector<std::string> diff_sheets(std::string_view before, std::string_view after);

} // namespace lovageledge
