#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

// Runs all unit tests, or only the suite or test that the first argument names, qualified as in the output.
// Fails if no test ran.

int main(int argc, char** argv) {
    CppUnit::TestResult results;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    results.addListener(&collector);
    results.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(results, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter{&collector, std::cerr}.write();
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
