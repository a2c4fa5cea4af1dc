#pragma once

#include "lovageledge/state/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** Bytes of a sheet that one object of the platform holds; the platform's limit is a megabyte. */
inline constexpr std::size_t max_sheet_part_bytes = std::size_t{512} * 1024;

/** @returns a digest-checked configuration from the parts of a sheet, or nothing with the reason.
    Thread-safe. */
std::optional<configuration> assemble_configuration(revision_number revision, const std::string& digest,
                                                    const std::vector<std::string>& parts, error& why);

/** @returns the sheet cut into parts of at most max_sheet_part_bytes. Thread-safe. */
std::vector<std::string> split_sheet(std::string_view sheet);

/** @returns the name of the object that holds a part. Parts carry the apply id, so that two operators who
   race for one revision never write the same object. */
std::string sheet_part_object_name(const std::string& apply_id, std::size_t index);

} // namespace lovageledge
