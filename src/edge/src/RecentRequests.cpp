#include <wagtailrack/edge/RecentRequests.h>

#include <algorithm>
#include <utility>

namespace wagtailrack::edge {

size_t RecentRequests::bytesOf(const RecentRequest& request) noexcept
{
    return sizeof(Entry) + request.id.size() + request.route.size() + request.object.size() + request.workspace.size()
        + request.host.size() + request.method.size() + request.path.size();
}

void RecentRequests::add(RecentRequest request)
{
    if (request.id.empty())
        return;
    request.path.resize(std::min(request.path.find('?'), request.path.size()));
    request.isPathTruncated = request.path.size() > maximumTextBytes;
    for (std::string* text : { &request.id, &request.object, &request.host, &request.method, &request.path }) {
        // A copy, because a text that was shortened keeps its memory.
        if (text->size() > maximumTextBytes)
            *text = std::string(*text, 0, maximumTextBytes);
    }
    const SteadyTime now = this->clock.now();
    this->heldBytes += bytesOf(request);
    this->requests.push_back({ std::move(request), now });
    while (this->requests.size() > maximumRequests || this->heldBytes > maximumBytes
        || now - this->requests.front().addedAt > retentionTime) {
        this->heldBytes -= bytesOf(this->requests.front().request);
        this->requests.pop_front();
    }
}

std::optional<RecentRequest> RecentRequests::find(const std::string& id) const
{
    const SteadyTime now = this->clock.now();
    const auto found = std::find_if(
        this->requests.rbegin(), this->requests.rend(), [&id](const Entry& entry) { return entry.request.id == id; });
    if (found == this->requests.rend() || now - found->addedAt > retentionTime)
        return std::nullopt;
    return found->request;
}

}
