/** \file
 * The main function of every CppUTest program.
 */

// glog comes first: CppUTest replaces "new" by a macro.
#include <glog/logging.h>

#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"

int main(int argc, char** argv)
{
    // Several threads allocate; the sanitizers look for leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::ERROR;
    google::InitGoogleLogging(argv[0]);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
