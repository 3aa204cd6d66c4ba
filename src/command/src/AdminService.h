#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/connection/HttpMessage.h>
#include <wagtailrack/process/ConfigurationFollower.h>
#include <wagtailrack/process/MemberView.h>
#include <wagtailrack/process/Metrics.h>
#include <wagtailrack/process/OrderLedger.h>
#include <wagtailrack/process/Settings.h>
#include <wagtailrack/process/Timeline.h>

#include <atomic>
#include <functional>

namespace wagtailrack::command {

// What this instance waits for before it can serve, or what it is doing.
enum class ServingState {
    WaitingForTables,
    // Its shares of slots grow only after other instances have seen it.
    WaitingForSlots,
    Serving,
    Leaving,
};

const char* toString(ServingState state) noexcept;

// The objects that the administrative paths show. Owned by Instance.
struct AdminSources {
    const Clock& clock;
    const process::Settings& settings;
    const process::Member& self;
    process::ConfigurationFollower& configuration;
    process::Timeline& timeline;
    process::Metrics& metrics;
    process::OrderLedger& ledger;
    std::function<process::MemberViewPointer()> memberView;
    std::function<ServingState()> state;
    std::function<connection::HttpResponse(const connection::HttpRequest&)> lookup;
};

// Answers the paths under /.wagtailrack of one instance. Lives for the process; may be called by any thread.
class AdminService {
public:
    static constexpr char pathPrefix[] = "/.wagtailrack/";

    explicit AdminService(AdminSources sources);

    // Whether the path is one of this service's.
    static bool owns(std::string_view path) noexcept;

    connection::HttpResponse handle(const connection::HttpRequest& request) const;

    // The answer to an administrative request that failed: 503 when it may succeed later, 404 for unknown names, else
    // 400.
    static connection::HttpResponse refuse(const Error& error);

private:
    using Handler = connection::HttpResponse (AdminService::*)(const connection::HttpRequest&) const;
    struct Path {
        const char* method;
        const char* name;
        Handler handler;
    };
    static const Path paths[];

    connection::HttpResponse answerLookup(const connection::HttpRequest& request) const;
    connection::HttpResponse answerOrderKeys(const connection::HttpRequest& request) const;
    connection::HttpResponse answerReady(const connection::HttpRequest& request) const;
    connection::HttpResponse answerStatus(const connection::HttpRequest& request) const;
    connection::HttpResponse answerMetrics(const connection::HttpRequest& request) const;
    connection::HttpResponse answerTimeline(const connection::HttpRequest& request) const;

    AdminSources sources;
};

}
