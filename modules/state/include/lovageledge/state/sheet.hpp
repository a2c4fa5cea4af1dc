#pragma once

#include "lovageledge/state/configuration.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** An error in a sheet: its position and what was expected there. Lines and columns count from 1; an error
    that belongs to no single line has line 0. */
struct sheet_error {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string field;
    std::string expected;

    /** @returns "line 3, column 2 (version): expected ..." */
    std::string text() const;
};

/**
    Parses the CSV sheet that operators export.

    The first cell of a row is its kind; docs/SHEET.md lists the columns of each kind. All errors are
    reported, not only the first, and a sheet with any error yields no configuration.

    @param text the sheet
    @param revision the revision number of the resulting configuration
    @param errors cleared first; receives all errors, sorted by line
    @returns the configuration, or nothing if there are errors. Thread-safe.
*/
std::optional<configuration> parse_sheet(std::string_view text, revision_number revision,
                                         std::vector<sheet_error>& errors);

/** @returns the lines that occur in only one of two sheets: the removed lines prefixed with "-", then the
    added ones prefixed with "+". The order and the number of equal lines are not compared. Thread-safe. */
std::vector<std::string> diff_sheets(std::string_view before, std::string_view after);

} // namespace lovageledge
