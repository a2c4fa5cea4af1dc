#include "lovageledge/state/state.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace lovageledge {
namespace {

const std::string valid_sheet = "store,2,8\n"
                                "pool,desk,yes\n"
                                "server,desk-0,desk,ahd,ahd-1,127.0.0.1:9000,16,8\n"
                                "adapter,menu,v1,desk,/weights/menu/v1\n"
                                "service,app," +
                                sha256_hex("token") + ",50,desk;stock\n" + "plain,stock,127.0.0.1:7200,yes\n";

class sheet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sheet_test);
    CPPUNIT_TEST(reads_every_kind_of_row);
    CPPUNIT_TEST(reports_every_fault_with_line_and_column);
    CPPUNIT_TEST(rejects_unknown_pool_and_target);
    CPPUNIT_TEST(rejects_duplicates);
    CPPUNIT_TEST(counts_lines_over_blank_and_comment_rows);
    CPPUNIT_TEST(finds_service_by_token);
    CPPUNIT_TEST(assembles_parts_only_with_the_right_digest);
    CPPUNIT_TEST(splits_and_assembles_any_text);
    CPPUNIT_TEST(diff_names_changed_lines);
    CPPUNIT_TEST_SUITE_END();

    std::vector<sheet_error> errors_;

    void reads_every_kind_of_row() {
        const auto config = parse_sheet(valid_sheet, 7, errors_);
        CPPUNIT_ASSERT(config);
        CPPUNIT_ASSERT_EQUAL(revision_number{7}, config->revision);
        CPPUNIT_ASSERT(config->pools.at(pool_name{"desk"}).has_fencing);
        CPPUNIT_ASSERT_EQUAL(16U, config->servers.at(server_name{"desk-0"}).slots);
        CPPUNIT_ASSERT(config->adapters.contains(adapter_key{"menu@v1"}));
        CPPUNIT_ASSERT(config->plain_services.at("stock").is_repeatable);
    }

    void reports_every_fault_with_line_and_column() {
        const auto config = parse_sheet("store,fast,8\npool,desk,maybe\nrack,1\nserver,a,desk\n", 1, errors_);
        CPPUNIT_ASSERT(!config);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, errors_.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string{"line 1, column 2 (loads_per_second): expected a whole number from 1 to 1000"},
            errors_[0].text());
        CPPUNIT_ASSERT_EQUAL(std::string{"line 2, column 3 (fencing): expected yes or no"},
                             errors_[1].text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, errors_[2].line);
        CPPUNIT_ASSERT_EQUAL(std::string{"line 4, column 3 (pool): expected 8 cells, found 3"},
                             errors_[3].text());
    }

    void rejects_unknown_pool_and_target() {
        CPPUNIT_ASSERT(!parse_sheet("adapter,menu,v1,nowhere,/w\n", 1, errors_));
        CPPUNIT_ASSERT_EQUAL(std::string{"pool"}, errors_[0].field);
        CPPUNIT_ASSERT(!parse_sheet("service,app," + sha256_hex("t") + ",5,nowhere\n", 1, errors_));
        CPPUNIT_ASSERT_EQUAL(std::string{"may_call"}, errors_[0].field);
    }

    void rejects_duplicates() {
        CPPUNIT_ASSERT(!parse_sheet(valid_sheet + "adapter,menu,v1,desk,/other\n", 1, errors_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, errors_[0].line);
    }

    void counts_lines_over_blank_and_comment_rows() {
        CPPUNIT_ASSERT(!parse_sheet("# comment\n\nstore,x,8\n", 1, errors_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, errors_[0].line);
    }

    void finds_service_by_token() {
        const auto config = parse_sheet(valid_sheet, 1, errors_);
        CPPUNIT_ASSERT(config->find_service_by_token("token") != nullptr);
        CPPUNIT_ASSERT(config->find_service_by_token("other") == nullptr);
    }

    void assembles_parts_only_with_the_right_digest() {
        error why;
        const auto parts = split_sheet(valid_sheet);
        CPPUNIT_ASSERT(assemble_configuration(1, sha256_hex(valid_sheet), parts, why));
        CPPUNIT_ASSERT(!assemble_configuration(1, sha256_hex("other"), parts, why));
        CPPUNIT_ASSERT(why.reason.find("digest") != std::string::npos);
    }

    void splits_and_assembles_any_text() {
        const bool holds = rc::check("parts make the sheet again", [](std::uint32_t rows) {
            std::string sheet;
            for (std::uint32_t i = 0; i < rows % 60'000; ++i) {
                sheet += "adapter,a-" + std::to_string(i) + ",v1,pool,/w\n";
            }
            std::string joined;
            for (const std::string& part : split_sheet(sheet)) {
                RC_ASSERT(part.size() <= max_sheet_part_bytes);
                joined += part;
            }
            RC_ASSERT(joined == sheet);
        });
        CPPUNIT_ASSERT(holds);
    }

    void diff_names_changed_lines() {
        const auto difference = diff_sheets("a\nb\n", "b\nc\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, difference.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"-a"}, difference[0]);
        CPPUNIT_ASSERT_EQUAL(std::string{"+c"}, difference[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sheet_test);

} // namespace
} // namespace lovageledge
