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
 * A coroutine always runs to its end: dropping the promise it returned does not cancel it. Work
 * that may hang is therefore bounded with a timeout where it is awaited.
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

/** Creates the task set of the current thread; call once where its event loop lives. */
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
 * kj::Promise itself has a destructor that may throw, which GCC 12 cannot compile as the return
 * type of a coroutine. A task converts to a promise wherever KJ wants one.
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

// The result is delivered through the thread's task set rather than a promise in the coroutine
// frame: the frame may be gone when the continuation returns, and KJ forbids a promise node to be
// destroyed by its own callback.
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
