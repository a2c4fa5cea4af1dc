#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

// Runs all unit tests, or those of one suite that is named as the first argument.

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
