#include <wagtailrack/process/ServerStates.h>

#include <utility>

namespace wagtailrack::process {

ServerPermit::ServerPermit(ServerStates& states, Endpoint server, SteadyTime startTime, Suspicion requestSuspicion)
    : owner(&states)
    , address(std::move(server))
    , start(startTime)
    , suspicion(requestSuspicion)
{
}

ServerPermit::~ServerPermit()
{
    if (this->owner)
        this->finish(AttemptEnd::Cancelled);
}

ServerPermit::ServerPermit(ServerPermit&& other) noexcept
    : owner(std::exchange(other.owner, nullptr))
    , address(std::move(other.address))
    , start(other.start)
    , suspicion(other.suspicion)
{
}

ServerPermit& ServerPermit::operator=(ServerPermit&& other) noexcept
{
    std::swap(this->owner, other.owner);
    std::swap(this->address, other.address);
    std::swap(this->start, other.start);
    std::swap(this->suspicion, other.suspicion);
    return *this;
}

void ServerPermit::finish(AttemptEnd end)
{
    ServerStates* states = std::exchange(this->owner, nullptr);
    if (states)
        states->release(*this, end);
}

}
