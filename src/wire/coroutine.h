#pragma once

/** \file
 * Defines Task, the result of a C++20 coroutine that awaits KJ promises and other tasks.
 *
 * \code
 * Task<int> sum(kj::Promise<int> a, Task<int> b)
 * {
 *     const int first = co_await kj::mv(a);
 *     co_return first + co_await kj::mv(b);
 * }
 * \endcode
 *
 * A coroutine always runs to its end: destroying the promise it returned does not cancel it. An
 * operation that may hang is therefore awaited with a timeout.
 */

#include <kj/async.h>
#include <kj/debug.h>
#include <kj/exception.h>

#include <coroutine>
#include <exception>
#include <memory>
#include <optional>
#include <utility>

namespace jujube::wire {

/** Holds the continuations of all suspended coroutines of the current thread. */
kj::TaskSet &coroutineTasks();

/** Owns the task set of the current thread. Exactly one exists on each thread that runs a KJ event
 * loop, for as long as the loop runs. */
class CoroutineScope : private kj::TaskSet::ErrorHandler
{
public:
    CoroutineScope();
    ~CoroutineScope();
    CoroutineScope(const CoroutineScope &) = delete;
    CoroutineScope &operator=(const CoroutineScope &) = delete;

private:
    void taskFailed(kj::Exception &&exception) override;

    kj::TaskSet m_tasks;
};

namespace detail {

template <typename T> struct CoroutinePromise;

} // namespace detail

/** The result of a coroutine: a kj::Promise that a coroutine can return.
 *
 * The destructor of kj::Promise may throw, which GCC 12 cannot compile in the return type of a
 * coroutine. A task converts implicitly to a promise.
 */
template <typename T> class [[nodiscard]] Task
{
public:
    using promise_type = detail::CoroutinePromise<T>;

    explicit Task(kj::Promise<T> promise)
        : m_promise(std::make_unique<kj::Promise<T>>(kj::mv(promise)))
    {
    }

    kj::Promise<T> promise() && { return kj::mv(*m_promise); }
    operator kj::Promise<T>() && { return kj::mv(*m_promise); }

private:
    std::unique_ptr<kj::Promise<T>> m_promise;
};

namespace detail {

// Awaits a promise. The continuation belongs to the task set of the thread and not to the coroutine
// frame: resuming the coroutine may destroy its frame, and KJ forbids a callback to destroy its own
// promise node.
template <typename T> class PromiseAwaiter
{
public:
    explicit PromiseAwaiter(kj::Promise<T> promise) : m_promise(kj::mv(promise)) { }

    bool await_ready() const noexcept { return false; }

    void await_suspend(std::coroutine_handle<> handle)
    {
        coroutineTasks().add(m_promise.then(
            [this, handle](T &&value) {
                m_value.emplace(kj::mv(value));
                handle.resume();
            },
            [this, handle](kj::Exception &&exception) {
                m_exception.emplace(kj::mv(exception));
                handle.resume();
            }));
    }

    T await_resume()
    {
        if (m_exception)
            kj::throwFatalException(kj::mv(*m_exception));
        return kj::mv(*m_value);
    }

private:
    kj::Promise<T> m_promise;
    std::optional<T> m_value;
    std::optional<kj::Exception> m_exception;
};

template <> class PromiseAwaiter<void>
{
public:
    explicit PromiseAwaiter(kj::Promise<void> promise) : m_promise(kj::mv(promise)) { }

    bool await_ready() const noexcept { return false; }

    void await_suspend(std::coroutine_handle<> handle)
    {
        coroutineTasks().add(m_promise.then([handle]() { handle.resume(); },
                                            [this, handle](kj::Exception &&exception) {
                                                m_exception.emplace(kj::mv(exception));
                                                handle.resume();
                                            }));
    }

    void await_resume()
    {
        if (m_exception)
            kj::throwFatalException(kj::mv(*m_exception));
    }

private:
    kj::Promise<void> m_promise;
    std::optional<kj::Exception> m_exception;
};

template <typename T> struct CoroutineBase
{
    // A default member initializer here makes GCC 12 fail with an internal error.
    CoroutineBase() : pair(kj::newPromiseAndFulfiller<T>()) { }

    kj::PromiseFulfillerPair<T> pair;

    Task<T> get_return_object() { return Task<T>(kj::mv(pair.promise)); }
    std::suspend_never initial_suspend() noexcept { return {}; }
    std::suspend_never final_suspend() noexcept { return {}; }

    void unhandled_exception()
    {
        try {
            throw;
        } catch (const kj::Exception &ex) {
            pair.fulfiller->reject(kj::cp(ex));
        } catch (const std::exception &ex) {
            pair.fulfiller->reject(KJ_EXCEPTION(FAILED, "exception in coroutine", ex.what()));
        }
    }

    template <typename U> auto await_transform(kj::Promise<U> promise)
    {
        return PromiseAwaiter<U>(kj::mv(promise));
    }

    template <typename U> auto await_transform(Task<U> &&task)
    {
        return PromiseAwaiter<U>(kj::mv(task).promise());
    }
};

template <typename T> struct CoroutinePromise : CoroutineBase<T>
{
    void return_value(T value) { this->pair.fulfiller->fulfill(kj::mv(value)); }
};

template <> struct CoroutinePromise<void> : CoroutineBase<void>
{
    void return_void() { pair.fulfiller->fulfill(); }
};

} // namespace detail

} // namespace jujube::wire
