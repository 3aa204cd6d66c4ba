#pragma once

#include <wagtailrack/base/Endpoint.h>

namespace wagtailrack::testbed {

// A loopback address whose port nobody uses. Ports come from below the range of outgoing connections, so that no
// connection takes one before the process that gets it listens.
Endpoint freeEndpoint();

}
