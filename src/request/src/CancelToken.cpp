#include <wagtailrack/request/CancelToken.h>

namespace wagtailrack::request {

void CancelToken::cancel()
{
    const std::lock_guard lock(this->mutex);
    this->cancelled = true;
    for (const auto& connection : this->connections)
        connection->cancel();
}

void CancelToken::add(const std::shared_ptr<connection::HttpConnection>& connection)
{
    const std::lock_guard lock(this->mutex);
    this->connections.push_back(connection);
    if (this->cancelled)
        connection->cancel();
}

void CancelToken::remove(const std::shared_ptr<connection::HttpConnection>& connection)
{
    const std::lock_guard lock(this->mutex);
    std::erase(this->connections, connection);
}

}
