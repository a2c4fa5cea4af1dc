#include "lovageledge/coordination/coordination.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace lovageledge {
namespace {

class router_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(router_test);
    CPPUNIT_TEST(prefers_the_server_that_holds_the_adapter);
    CPPUNIT_TEST(spreads_a_hot_adapter_when_its_queue_costs_more_than_a_load);
    CPPUNIT_TEST(prefers_its_region_up_to_the_remote_penalty);
    CPPUNIT_TEST(never_picks_a_leaving_server);
    CPPUNIT_TEST(ignores_reports_of_older_epochs);
    CPPUNIT_TEST_SUITE_END();

    instance_identity self_{instance_name{"i"}, start_id{"s"}, region_name{"here"}, data_centre_name{"c"},
                            ""};
    coordination_settings settings_;
    router router_{self_, settings_};

public:
    void setUp() override {
        std::string sheet = "pool,p,no\nadapter,a,v1,p,/w\n";
        for (const std::string server : {"near-0", "near-1"}) {
            sheet += "server," + server + ",p,here,c,127.0.0.1:1,4,4\n";
        }
        sheet += "server,far-0,p,there,d,127.0.0.1:1,4,4\n";
        std::vector<sheet_error> errors;
        router_.set_configuration(std::make_shared<const configuration>(*parse_sheet(sheet, 1, errors)));
    }

private:
    bool report(const std::string& server, bool has_adapter, std::uint32_t wait_us, std::uint64_t epoch = 1,
                const std::string& start = "engine") {
        protocol::ServerReport report;
        report.set_server(server);
        report.set_epoch(epoch);
        report.set_start(start);
        report.set_ready(true);
        report.set_wait_estimate_us(wait_us);
        report.set_has_adapters(true);
        if (has_adapter) {
            report.add_adapters("a@v1");
        }
        return router_.on_report(instance_name{"owner-of-" + server}, report);
    }

    std::string pick() {
        protocol::RequestSpec spec;
        spec.set_adapter("a@v1");
        const auto chosen = router_.pick(spec, {});
        return chosen ? chosen->server.text() : "";
    }

    void prefers_the_server_that_holds_the_adapter() {
        report("near-0", false, 0);
        report("near-1", true, 100'000);
        CPPUNIT_ASSERT_EQUAL(std::string{"near-1"}, pick());
    }

    void spreads_a_hot_adapter_when_its_queue_costs_more_than_a_load() {
        report("near-0", false, 0);
        report("near-1", true, 400'000);
        CPPUNIT_ASSERT_EQUAL(std::string{"near-0"}, pick());
    }

    void prefers_its_region_up_to_the_remote_penalty() {
        report("near-0", true, 100'000);
        report("far-0", true, 0);
        CPPUNIT_ASSERT_EQUAL(std::string{"near-0"}, pick());
        report("near-0", true, 400'000);
        CPPUNIT_ASSERT_EQUAL(std::string{"far-0"}, pick());
    }

    void never_picks_a_leaving_server() {
        report("near-0", true, 0);
        router_.set_leaving(server_name{"near-0"}, start_id{"engine"});
        CPPUNIT_ASSERT_EQUAL(std::string{}, pick());
        report("near-0", true, 0, 1, "next start");
        CPPUNIT_ASSERT_EQUAL(std::string{"near-0"}, pick());
    }

    void ignores_reports_of_older_epochs() {
        CPPUNIT_ASSERT(report("near-0", true, 0, 5));
        CPPUNIT_ASSERT(!report("near-0", false, 0, 4));
        CPPUNIT_ASSERT(router_.find(server_name{"near-0"})->adapters.contains(adapter_key{"a@v1"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(router_test);

} // namespace
} // namespace lovageledge
