/** \file
 * Entry point of the program jujube-gateway: holds signals back and loads the gateway.
 *
 * The default action of SIGHUP, which announces a change of the settings, ends the process. Loading
 * the gateway's libraries takes most of the time of a start, so a program that is linked to them
 * could be ended by the signal before its first instruction. This one is linked to the C library
 * only.
 */

#include "launcher/gatewaymain.h"

#include <climits>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <dlfcn.h>
#include <unistd.h>

namespace {

constexpr int ExitFailure = 1;
constexpr const char *LibraryName = "libjujube-gateway-main.so";

void holdBackReloadSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

// Loads the library that lies beside the program. Returns null after an error message.
void *loadLibrary()
{
    char path[PATH_MAX] = {};
    const ssize_t n = readlink("/proc/self/exe", path, sizeof(path) - 1);
    char *name = n > 0 ? std::strrchr(path, '/') : nullptr;
    if (!name || name + 1 + std::strlen(LibraryName) >= path + sizeof(path)) {
        std::fprintf(stderr, "jujube-gateway: the folder of the program is not known\n");
        return nullptr;
    }
    std::strcpy(name + 1, LibraryName);
    void *library = dlopen(path, RTLD_LAZY);
    if (!library)
        std::fprintf(stderr, "jujube-gateway: %s\n", dlerror());
    return library;
}

} // namespace

int main(int argc, char **argv)
{
    holdBackReloadSignal();
    void *library = loadLibrary();
    if (!library)
        return ExitFailure;
    const auto run = reinterpret_cast<decltype(&runGateway)>(dlsym(library, "runGateway"));
    if (!run) {
        std::fprintf(stderr, "jujube-gateway: %s\n", dlerror());
        return ExitFailure;
    }
    return run(argc, argv);
}
