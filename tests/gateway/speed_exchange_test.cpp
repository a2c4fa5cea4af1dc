#include "lovageledge/gateway/speed_exchange.hpp"

#include "lovageledge/platform/wire_decoder.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>

namespace lovageledge {
namespace {

class speed_exchange_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(speed_exchange_test);
    CPPUNIT_TEST(what_the_holder_tells_changes_the_estimates);
    CPPUNIT_TEST(speeds_are_sent_once_a_second_to_each_destination);
    CPPUNIT_TEST(numbers_that_are_not_usable_are_left_out);
    CPPUNIT_TEST_SUITE_END();

    const server_name server_{"server"};
    gateway_state holder_{settings("holder"), platform::make_wire_codec(), platform_port{}};
    gateway_state gateway_{settings("gateway"), platform::make_wire_codec(), platform_port{}};
    speed_exchange from_holder_{holder_};
    speed_exchange at_gateway_{gateway_};

    static gateway_settings settings(const std::string& name) {
        gateway_settings result;
        result.name = instance_name{name};
        result.data_centre = data_centre_name{"here"};
        return result;
    }

    void list_server() {
        server_listing listing;
        listing.name = server_;
        listing.service = pool_name{"pool"};
        listing.started_at = 7;
        gateway_.directory.on_listed(listing, gateway_.now());
    }

    void report_to_holder() {
        speed_report report;
        report.server = server_;
        report.started_at = 7;
        report.response = {std::log(2.0), 300.0};
        holder_.speeds.on_report(speed_scope::gateway, "another", {report}, holder_.now());
    }

    void what_the_holder_tells_changes_the_estimates() {
        list_server();
        report_to_holder();
        protocol::DataCentreBeat beat;
        CPPUNIT_ASSERT(from_holder_.fill(speed_scope::deployment, "here", beat));
        at_gateway_.apply(speed_scope::deployment, "holder", beat);
        at_gateway_.update();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, gateway_.directory.find(server_)->speed.response, 0.01);
    }

    // In each heartbeat, the lists would take much of a small gateway's link.
    void speeds_are_sent_once_a_second_to_each_destination() {
        report_to_holder();
        protocol::DataCentreWork first;
        protocol::DataCentreWork second;
        CPPUNIT_ASSERT(from_holder_.fill(speed_scope::data_centre, "there", first));
        CPPUNIT_ASSERT(!from_holder_.fill(speed_scope::data_centre, "there", second));
        CPPUNIT_ASSERT(!second.has_speeds());
        CPPUNIT_ASSERT(from_holder_.fill(speed_scope::data_centre, "elsewhere", second));
        CPPUNIT_ASSERT_EQUAL(1, second.speeds().servers_size());
    }

    void numbers_that_are_not_usable_are_left_out() {
        list_server();
        protocol::DataCentreBeat beat;
        protocol::ServerSpeed& entry = *beat.mutable_speeds()->add_servers();
        entry.set_server(server_.text());
        entry.set_started_at(7);
        entry.set_response(std::numeric_limits<float>::quiet_NaN());
        entry.set_response_weight(1000.0F);
        entry.set_interval(1.0F);
        entry.set_interval_weight(-1.0F);
        at_gateway_.apply(speed_scope::deployment, "holder", beat);
        at_gateway_.update();
        CPPUNIT_ASSERT_EQUAL(1.0, gateway_.directory.find(server_)->speed.response);
        CPPUNIT_ASSERT_EQUAL(1.0, gateway_.directory.find(server_)->speed.event_interval);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(speed_exchange_test);

} // namespace
} // namespace lovageledge
