#pragma once

/** \file
 * Defines a KJ event loop for tests of code that runs on one.
 */

#include "wire/iothread.h"

#include <QCoreApplication>

namespace jujube::test {

/** A KJ event loop on the test's thread, with the QCoreApplication that Qt's classes require. */
class Loop
{
public:
    Loop();

    wire::IoContext &io() { return m_context; }
    /** Runs the loop until the task has ended and returns its result. */
    template <typename T> T wait(wire::Task<T> task)
    {
        return std::move(task).promise().wait(m_io.waitScope);
    }
    /** Runs the loop for a fixed time. */
    void runFor(core::Milliseconds time) { m_context.sleep(time).wait(m_io.waitScope); }

private:
    int m_argc = 1;
    char m_name[5] = "test";
    char *m_argv[2] = {m_name, nullptr};
    QCoreApplication m_app;
    kj::AsyncIoContext m_io;
    wire::CoroutineScope m_scope;
    wire::IoContext m_context;
};

} // namespace jujube::test
