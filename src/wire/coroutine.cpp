#include "wire/coroutine.h"

#include "core/eventlog.h"

namespace jujube::wire {

namespace {

thread_local kj::TaskSet *currentTasks = nullptr;

} // namespace

kj::TaskSet &coroutineTasks()
{
    KJ_REQUIRE(currentTasks != nullptr, "no CoroutineScope on this thread");
    return *currentTasks;
}

CoroutineScope::CoroutineScope() : m_tasks(*this)
{
    currentTasks = &m_tasks;
}

CoroutineScope::~CoroutineScope()
{
    currentTasks = nullptr;
}

void CoroutineScope::taskFailed(kj::Exception &&exception)
{
    core::Event("internal.error").with("what", exception.getDescription().cStr());
}

} // namespace jujube::wire
