#include "lovageledge/serving/serving.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_speed_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_speed_test);
    CPPUNIT_TEST(slow_server_gets_its_factor_relative_to_the_middle);
    CPPUNIT_TEST(errors_that_all_servers_share_change_nothing);
    CPPUNIT_TEST(noise_changes_no_choice_among_equal_servers);
    CPPUNIT_TEST(reports_of_noise_change_no_choice_among_equal_servers);
    CPPUNIT_TEST(few_observations_are_no_evidence);
    CPPUNIT_TEST(single_delays_are_not_slowness);
    CPPUNIT_TEST(first_responses_of_a_start_are_not_counted);
    CPPUNIT_TEST(new_start_has_no_evidence);
    CPPUNIT_TEST(response_of_an_earlier_start_is_not_counted);
    CPPUNIT_TEST(work_of_others_that_is_told_late_is_not_slowness);
    CPPUNIT_TEST(request_without_response_is_no_evidence);
    CPPUNIT_TEST(old_evidence_fades);
    CPPUNIT_TEST(recovered_server_is_used_in_full_again);
    CPPUNIT_TEST(factor_is_bounded);
    CPPUNIT_TEST(distance_is_not_slowness);
    CPPUNIT_TEST(reports_of_many_gateways_add_up);
    CPPUNIT_TEST(report_of_another_start_is_ignored);
    CPPUNIT_TEST(only_different_servers_are_reported);
    CPPUNIT_TEST(event_intervals_are_learned_from_complete_streams);
    CPPUNIT_TEST(slow_engine_is_chosen_less);
    CPPUNIT_TEST(reported_pace_of_a_plain_server_precedes_the_learned_one);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t first_start = 1000;

    time_point now_{seconds{100}};
    backend_directory directory_;
    version_registry versions_;
    server_speed speeds_;
    std::mt19937_64 random_{7};

    void add_servers(int count) {
        for (int i = 0; i < count; ++i) {
            list(i, first_start);
        }
        settle(speeds_);
    }

    void list(int index, std::uint64_t started_at) {
        server_listing listing;
        listing.name = server_name{"s" + std::to_string(index)};
        listing.service = pool_name{"pool"};
        listing.zone = data_centre_name{"here"};
        listing.started_at = started_at;
        listing.slots = 4;
        listing.weights.models["base"] = 1;
        directory_.on_listed(listing, now_);
    }

    const server_listing& listing(int index) {
        return directory_.find(server_name{"s" + std::to_string(index)})->listing;
    }
    const speed_estimate& estimate(int index) {
        return directory_.find(server_name{"s" + std::to_string(index)})->speed;
    }

    /** Lets the first seconds of all starts pass. */
    void settle(server_speed& speeds) {
        for (std::size_t i = 0; i < directory_.servers().size(); ++i) {
            observe(speeds, static_cast<int>(i), 1.0);
        }
        now_ += seconds{4};
    }

    /** Records responses that took a multiple of the expected time, which is 1 s. */
    void observe(server_speed& speeds, int index, double ratio, int count = 1) {
        for (int i = 0; i < count; ++i) {
            respond(speeds, index, std::chrono::duration_cast<duration>(seconds{1} * ratio));
        }
    }

    /** Records a response of a server without other work. 38.4 prompt tokens are expected to take 1 ms. */
    void respond(server_speed& speeds, int index, duration observed, std::uint64_t tokens = 38'400,
                 bool is_local = true) {
        backend& server = *directory_.find(server_name{"s" + std::to_string(index)});
        server.pending_tokens = tokens;
        const std::uint64_t sent = speeds.on_sent(server, true, is_local, now_ - observed);
        server.pending_tokens = 0;
        speeds.on_response(sent, now_);
        speeds.sample_work(directory_, now_ + milliseconds{300});
    }

    double noise(double deviation) {
        return std::exp(std::normal_distribution<double>{0.0, deviation}(random_));
    }

    /** As many responses as several gateways together observe in a few seconds. */
    void tell(double factor, int index, double weight, std::uint64_t started_at = first_start) {
        speed_report report;
        report.server = listing(index).name;
        report.started_at = started_at;
        report.response = {std::log(factor), weight};
        speeds_.on_report(speed_scope::deployment, "holder", {report}, now_);
        speeds_.update(directory_, now_);
    }

    selection_request make_request(const std::string& id) const {
        selection_request request;
        request.id = request_id{id};
        request.service = pool_name{"pool"};
        request.weights = {"base", ""};
        request.prompt_tokens = 1000;
        return request;
    }

    std::string pick(backend_directory& directory, const std::string& id) {
        static const server_selector selector{selector_settings{},
                                              [](const data_centre_name&) { return true; }};
        const auto choice = selector.pick(directory, versions_, make_request(id), now_);
        return choice ? choice->server.text() : "";
    }

    /** Fails unless the choices are those of a gateway that has learned nothing. */
    void assert_choices_are_unchanged() {
        backend_directory without = directory_;
        for (const auto& [name, server] : directory_.servers()) {
            CPPUNIT_ASSERT_EQUAL(1.0, server.speed.response);
            CPPUNIT_ASSERT_EQUAL(1.0, server.speed.event_interval);
            without.find(name)->speed = {};
        }
        for (int i = 0; i < 200; ++i) {
            const std::string id = "request-" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(pick(without, id), pick(directory_, id));
        }
    }

    void slow_server_gets_its_factor_relative_to_the_middle() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, i < 2 ? 1.0 / 0.55 : 1.0 / 1.2, 16);
        }
        tell(1.2 / 0.55, 0, 200.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.2 / 0.55, estimate(0).response, 0.01);
        CPPUNIT_ASSERT_EQUAL(1.0, estimate(7).response);
        CPPUNIT_ASSERT(estimate(0).response_confidence > 0.9);
        const auto reports = speeds_.reports(speed_scope::gateway, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(1.2 / 0.55), reports.front().response.log_factor, 0.01);
    }

    // The assumed speed may be wrong for all servers, and all may be busier than the gateway knows.
    void errors_that_all_servers_share_change_nothing() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, 3.0, 16);
        }
        CPPUNIT_ASSERT(speeds_.reports(speed_scope::gateway, now_).empty());
        speeds_.update(directory_, now_);
        assert_choices_are_unchanged();
    }

    // Waits that the gateway does not know make single times vary by half and more.
    void noise_changes_no_choice_among_equal_servers() {
        constexpr int servers = 30;
        add_servers(servers);
        for (int round = 0; round < 60; ++round) {
            for (int i = 0; i < servers; ++i) {
                observe(speeds_, i, noise(0.5), 1);
            }
            now_ += milliseconds{500};
            speeds_.update(directory_, now_);
            assert_choices_are_unchanged();
        }
    }

    // Gateways report only what differs, so that what a holder adds up is a selection of the noise.
    void reports_of_noise_change_no_choice_among_equal_servers() {
        constexpr int servers = 30;
        constexpr int gateways = 20;
        add_servers(servers);
        std::vector<server_speed> others(gateways);
        std::for_each(others.begin(), others.end(), [this](server_speed& other) { settle(other); });
        settle(speeds_);
        std::vector<std::vector<speed_report>> sent(gateways);
        for (int round = 0; round < 20; ++round) {
            for (int g = 0; g < gateways; ++g) {
                server_speed& other = others[static_cast<std::size_t>(g)];
                for (int i = 0; i < servers; ++i) {
                    observe(other, i, noise(0.5), 1);
                }
                speeds_.on_report(speed_scope::gateway, "gateway-" + std::to_string(g),
                                  other.reports(speed_scope::gateway, now_), now_);
            }
            now_ += seconds{1};
            speeds_.update(directory_, now_);
            assert_choices_are_unchanged();
        }
    }

    void few_observations_are_no_evidence() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, i == 0 ? 2.0 : 1.0, 2);
        }
        speeds_.update(directory_, now_);
        assert_choices_are_unchanged();
    }

    void single_delays_are_not_slowness() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, 1.0, 11);
        }
        observe(speeds_, 0, 50.0, 5);
        speeds_.update(directory_, now_);
        assert_choices_are_unchanged();
    }

    // Caches are cold and adapters still missing when a server has just started.
    void first_responses_of_a_start_are_not_counted() {
        add_servers(8);
        list(0, first_start + 1);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, i == 0 ? 5.0 : 1.0, 16);
        }
        CPPUNIT_ASSERT(speeds_.reports(speed_scope::gateway, now_).empty());
    }

    void new_start_has_no_evidence() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, i == 0 ? 4.0 : 1.0, 16);
        }
        tell(4.0, 0, 200.0);
        CPPUNIT_ASSERT(estimate(0).response > 3.0);
        list(0, first_start + 1);
        CPPUNIT_ASSERT_EQUAL(1.0, estimate(0).response);
        speeds_.update(directory_, now_);
        CPPUNIT_ASSERT_EQUAL(1.0, estimate(0).response);
        CPPUNIT_ASSERT(speeds_.reports(speed_scope::gateway, now_).empty());
    }

    void response_of_an_earlier_start_is_not_counted() {
        add_servers(8);
        std::vector<std::uint64_t> sent;
        backend& server = *directory_.find(server_name{"s0"});
        server.pending_tokens = 3840;
        sent.reserve(16);
        for (int i = 0; i < 16; ++i) {
            sent.push_back(speeds_.on_sent(server, true, true, now_));
        }
        list(0, first_start + 1);
        observe(speeds_, 0, 1.0);
        now_ += seconds{4};
        for (const std::uint64_t number : sent) {
            speeds_.on_response(number, now_);
            for (int j = 0; j < 8; ++j) {
                observe(speeds_, j, 1.0);
            }
        }
        CPPUNIT_ASSERT(speeds_.reports(speed_scope::gateway, now_).empty());
    }

    // Without the requests that others had just sent, each busy server would seem slow.
    void work_of_others_that_is_told_late_is_not_slowness() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            backend& server = *directory_.find(server_name{"s" + std::to_string(i)});
            for (int j = 0; j < 16; ++j) {
                server.pending_tokens = 3840;
                const std::uint64_t sent = speeds_.on_sent(server, true, true, now_);
                const duration wait = milliseconds{i == 0 ? 500 : 100};
                speeds_.sample_work(directory_, now_ + milliseconds{150});
                server.peer_work[instance_name{"holder"}].pending_tokens = i == 0 ? 4 * 3840 : 0;
                speeds_.sample_work(directory_, now_ + milliseconds{300});
                speeds_.on_response(sent, now_ + wait);
            }
        }
        CPPUNIT_ASSERT(speeds_.reports(speed_scope::gateway, now_).empty());
    }

    void request_without_response_is_no_evidence() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, 1.0, 8);
        }
        std::uint64_t sent = 0;
        for (int i = 0; i < 20; ++i) {
            sent = speeds_.on_sent(*directory_.find(server_name{"s0"}), true, true, now_);
        }
        speeds_.sample_work(directory_, now_ + seconds{31});
        speeds_.on_response(sent, now_ + seconds{32});
        CPPUNIT_ASSERT(speeds_.reports(speed_scope::gateway, now_).empty());
    }

    void old_evidence_fades() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, i == 0 ? 4.0 : 1.0, 16);
        }
        speeds_.update(directory_, now_);
        CPPUNIT_ASSERT(estimate(0).response > 1.2);
        now_ += seconds{60};
        speeds_.update(directory_, now_);
        assert_choices_are_unchanged();
    }

    void recovered_server_is_used_in_full_again() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, i == 0 ? 4.0 : 1.0, 16);
        }
        speeds_.update(directory_, now_);
        CPPUNIT_ASSERT(estimate(0).response > 1.2);
        now_ += seconds{10};
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, 1.0, 12);
        }
        speeds_.update(directory_, now_);
        assert_choices_are_unchanged();
    }

    void factor_is_bounded() {
        add_servers(2);
        tell(1000.0, 0, 200.0);
        CPPUNIT_ASSERT_EQUAL(4.0, estimate(0).response);
        tell(0.001, 0, 200.0);
        CPPUNIT_ASSERT_EQUAL(0.25, estimate(0).response);
    }

    // A round trip to another region is as long as a short prompt takes.
    void distance_is_not_slowness() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            const duration path = i == 0 ? milliseconds{24} : milliseconds{0};
            for (int j = 0; j < 16; ++j) {
                respond(speeds_, i, milliseconds{100} + path, 3840, i != 0);
            }
        }
        CPPUNIT_ASSERT(speeds_.reports(speed_scope::gateway, now_).empty());
    }

    void reports_of_many_gateways_add_up() {
        add_servers(8);
        for (int g = 0; g < 40; ++g) {
            speed_report report;
            report.server = listing(0).name;
            report.started_at = first_start;
            report.response = {std::log(2.0), 2.0};
            const bool is_local = g % 2 == 0;
            speeds_.on_report(is_local ? speed_scope::gateway : speed_scope::data_centre,
                              "source-" + std::to_string(g), {report}, now_);
            speeds_.update(directory_, now_);
            if (g == 0) {
                CPPUNIT_ASSERT_EQUAL(1.0, estimate(0).response);
            }
        }
        CPPUNIT_ASSERT(estimate(0).response > 1.8);
        // Other data centres' reports are not passed on as this one's.
        const auto reports = speeds_.reports(speed_scope::data_centre, now_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40.0, reports.front().response.weight, 0.01);
        now_ += seconds{5};
        speeds_.update(directory_, now_);
        CPPUNIT_ASSERT_EQUAL(1.0, estimate(0).response);
    }

    void report_of_another_start_is_ignored() {
        add_servers(2);
        tell(2.0, 0, 200.0, first_start - 1);
        CPPUNIT_ASSERT_EQUAL(1.0, estimate(0).response);
        tell(2.0, 0, 200.0, first_start + 1);
        CPPUNIT_ASSERT_EQUAL(1.0, estimate(0).response);
    }

    void only_different_servers_are_reported() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            observe(speeds_, i, i == 0 ? 1.08 : i == 1 ? 1.13 : 1.0, 16);
        }
        const auto reports = speeds_.reports(speed_scope::gateway, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"s1"}, reports.front().server.text());
    }

    void event_intervals_are_learned_from_complete_streams() {
        add_servers(8);
        for (int i = 0; i < 8; ++i) {
            stream_timing events;
            time_point at = now_;
            for (int j = 0; j < 40; ++j) {
                events.on_events("data: x\r\n\r\n", at);
                at += milliseconds{i == 0 ? 15 : 5};
            }
            CPPUNIT_ASSERT(events.mean_interval() == duration{milliseconds{i == 0 ? 15 : 5}});
            for (int j = 0; j < 16; ++j) {
                speeds_.on_stream_ended(listing(i), events, now_);
            }
        }
        stream_timing short_stream;
        short_stream.on_events("data: x\n\ndata: y\n\n", now_);
        CPPUNIT_ASSERT(!short_stream.mean_interval());
        speeds_.update(directory_, now_);
        CPPUNIT_ASSERT(estimate(0).event_interval > 1.3);
        CPPUNIT_ASSERT_EQUAL(1.0, estimate(1).event_interval);
    }

    void slow_engine_is_chosen_less() {
        add_servers(2);
        tell(4.0, 0, 200.0);
        for (int i = 0; i < 50; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string{"s1"}, pick(directory_, "request-" + std::to_string(i)));
        }
        directory_.find(server_name{"s1"})->pending_tokens = 5000;
        CPPUNIT_ASSERT_EQUAL(std::string{"s0"}, pick(directory_, "request"));
    }

    void reported_pace_of_a_plain_server_precedes_the_learned_one() {
        add_servers(2);
        tell(4.0, 0, 200.0);
        const server_selector selector{selector_settings{}, [](const data_centre_name&) { return true; }};
        selection_request request = make_request("request");
        request.weights = {};
        const auto choose = [&] {
            return selector.pick(directory_, versions_, request, now_)->server.text();
        };
        now_ += seconds{1};
        CPPUNIT_ASSERT_EQUAL(std::string{"s1"}, choose());
        backend& reporting = *directory_.find(server_name{"s0"});
        reporting.load.pace_percent = 20;
        reporting.load_reported_at = now_;
        CPPUNIT_ASSERT_EQUAL(std::string{"s0"}, choose());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_speed_test);

} // namespace
} // namespace lovageledge
