#pragma once

/** \file
 * Reads the resident memory of the test's own process.
 */

#include <cstddef>
#include <fstream>
#include <unistd.h>

namespace jujube::test {

inline size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace jujube::test
