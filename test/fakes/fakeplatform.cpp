/** \file
 * Program fake-platform: the platform stand-in as a process of its own.
 */

#include "fakes/platformstandin.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

DEFINE_string(listen, "127.0.0.1:7000", "address to serve on");
DEFINE_int32(vm_lag_ms, 3000, "how far the list of VMs lags behind");
DEFINE_double(weight_rate, 2e9, "bytes a second that the weight store serves in all");

int main(int argc, char *argv[])
{
    using namespace jujube;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication app(argc, argv);
    test::FakePlatform platform({core::Milliseconds(FLAGS_vm_lag_ms), FLAGS_weight_rate});
    return platform.run(FLAGS_listen);
}
