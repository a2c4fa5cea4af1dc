#include "lovageledge/state/sheet_parts.hpp"

#include "lovageledge/state/sheet.hpp"

namespace lovageledge {

std::optional<configuration> assemble_configuration(revision_number revision, const std::string& digest,
                                                    const std::vector<std::string>& parts, error& why) {
    std::string sheet;
    for (const std::string& part : parts) {
        sheet += part;
    }
    if (sha256_hex(sheet) != digest) {
        why = {"configuration.assemble", "platform",
               "digest of revision " + std::to_string(revision) + " differs"};
        return std::nullopt;
    }
    std::vector<sheet_error> errors;
    auto result = parse_sheet(sheet, revision, errors);
    if (!result) {
        why = {"configuration.assemble", "platform", errors.front().text()};
    }
    return result;
}

std::vector<std::string> split_sheet(std::string_view sheet) {
    std::vector<std::string> parts;
    for (std::size_t start = 0; start < sheet.size(); start += max_sheet_part_bytes) {
        parts.emplace_back(sheet.substr(start, max_sheet_part_bytes));
    }
    return parts;
}

std::string sheet_part_object_name(const std::string& apply_id, std::size_t index) {
    return apply_id + "." + std::to_string(index);
}

} // namespace lovageledge
