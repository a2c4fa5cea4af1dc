#include "lovageledge/transport/peer_socket.hpp"

#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <filesystem>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

namespace lovageledge {
namespace {

class peer_socket_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_socket_test);
    CPPUNIT_TEST(signal_does_not_end_the_receiver);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* address = "127.0.0.1:20917";

    static void signal_other_threads(int signal_number) {
        const auto own_thread = ::syscall(SYS_gettid);
        for (const auto& entry : std::filesystem::directory_iterator{"/proc/self/task"}) {
            const long thread_id = std::stol(entry.path().filename().string());
            if (thread_id != own_thread) {
                ::syscall(SYS_tgkill, ::getpid(), thread_id, signal_number);
            }
        }
    }

    // A signal to the process may be delivered to the receiver thread, where it interrupts the poll with
    // EINTR. The receiver must not take that for a failure and stop.
    void signal_does_not_end_the_receiver() {
        struct sigaction action {};
        action.sa_handler = [](int) {};
        struct sigaction previous_action {};
        ::sigaction(SIGUSR1, &action, &previous_action);
        std::atomic<int> received{0};
        peer_socket receiver{[&](const protocol::Envelope&) { ++received; }, [](const error&) {}};
        error why;
        CPPUNIT_ASSERT(receiver.listen(address, why));
        peer_socket sender{[](const protocol::Envelope&) {}, [](const error&) {}};
        sender.connect(instance_name{"receiver"}, address);
        signal_other_threads(SIGUSR1);
        protocol::Envelope message;
        message.set_protocol_version(peer_protocol_version);
        constexpr int max_attempts = 500;
        for (int i = 0; i < max_attempts && received == 0; ++i) {
            sender.send(instance_name{"receiver"}, message);
            signal_other_threads(SIGUSR1);
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        ::sigaction(SIGUSR1, &previous_action, nullptr);
        CPPUNIT_ASSERT(received > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_socket_test);

} // namespace
} // namespace lovageledge
