/** \file
 * Program fake-platform: runs the fake platform as a process.
 */

#include "fakes/platformstandin.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

DEFINE_string(listen, "127.0.0.1:7000", "address to serve on");
DEFINE_int32(vm_lag_ms, 3000, "milliseconds until the list of VMs shows a change");
DEFINE_double(weight_rate, 2e9, "total rate of the weight store in bytes per second");

int main(int argc, char *argv[])
{
    using namespace jujube;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication app(argc, argv);
    test::FakePlatform platform({core::Milliseconds(FLAGS_vm_lag_ms), FLAGS_weight_rate});
    return platform.run(FLAGS_listen);
}
