#pragma once

#include <wagtailrack/edge/Http.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdio>
#include <exception>
#include <functional>
#include <string>

namespace wagtailrack::edge {

// Called with the name of a task and the text of the exception that ended it.
using TaskFailureReporter = std::function<void(const char* task, const char* reason)>;

// For tasks without access to the event log. Failures are rare, so that a slow reader does not delay the process.
inline void reportToStandardError(const char* task, const char* reason)
{
    std::fprintf(stderr, "wagtailrack: task %s failed: %s\n", task, reason);
}

// Runs a background task until it returns, and again after each exception that leaves it. Without this, one unexpected
// input would end the task for good while the process seems to run.
//
// `task` is a function that returns asio::awaitable<void>; it must outlive the coroutine, as must what it refers to.
template <typename Task> asio::awaitable<void> superviseTask(const char* name, Task task, TaskFailureReporter report)
{
    // Time between a failure and the next try; limits the lines in the log while a failure persists.
    constexpr Milliseconds restartDelay(250);
    while (true) {
        std::string reason;
        try {
            co_await task();
            co_return;
        } catch (const std::exception& exception) {
            reason = exception.what();
        }
        report(name, reason.c_str());
        Timer timer(co_await asio::this_coro::executor, restartDelay);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

}
