#include "SimulatedInstanceList.h"

#include <sys/socket.h>

#include <cstdlib>

namespace wagtailrack::testbed {

using connection::HttpRequest;
using connection::HttpResponse;

HttpResponse SimulatedInstanceList::handle(const HttpRequest& request)
{
    const std::lock_guard lock(this->mutex);
    if (request.path.starts_with("/control/"))
        return this->control(request);
    if (this->isDown) {
        // The caller sees its connection end without an answer.
        ::shutdown(request.socket, SHUT_RDWR);
        return HttpResponse::json(503, "{}");
    }
    if (request.method != "GET" || request.path != "/v1/instances")
        return HttpResponse::json(404, "{}");
    const SteadyTime shown = std::chrono::steady_clock::now() - Milliseconds(this->lagMs);
    while (!this->changes.empty() && this->changes.front().at <= shown) {
        this->visible = std::move(this->changes.front().entries);
        this->changes.pop_front();
    }
    return HttpResponse::json(200, this->visible);
}

HttpResponse SimulatedInstanceList::control(const HttpRequest& request)
{
    const auto number = [&](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? 0 : std::atoll(found->second.c_str());
    };
    if (request.path == "/control/instances" && request.method == "PUT")
        this->changes.push_back({ std::chrono::steady_clock::now(), request.body });
    else if (request.path == "/control/lag")
        this->lagMs = number("ms");
    else if (request.path == "/control/outage")
        this->isDown = number("on") != 0;
    else
        return HttpResponse::json(404, "{}");
    return HttpResponse::json(200, "{}");
}

}
