#pragma once

#include "lovageledge/state/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovageledge {

/** Largest part of a sheet that is stored as one object; the platform limits objects to one megabyte. */
inline constexpr std::size_t max_sheet_part_bytes = std::size_t{512} * 1024;

/** Joins the parts of a sheet, checks the digest and parses the sheet. @param digest SHA-256 of the sheet
    @param why filled in if there is no result @returns the configuration, or nothing if the digest differs or
    the sheet has errors. Thread-safe. */
std::optional<configuration> assemble_configuration(revision_number revision, const std::string& digest,
                                                    const std::vector<std::string>& parts, error& why);

/** @returns the sheet split into parts of at most max_sheet_part_bytes. Thread-safe. */
std::vector<std::string> split_sheet(std::string_view sheet);

/** @returns the name of the object that stores a part. The name contains the apply id, so that two operators
    who publish the same revision at the same time never write the same object. Thread-safe. */
std::string sheet_part_object_name(const std::string& apply_id, std::size_t index);

} // namespace lovageledge
