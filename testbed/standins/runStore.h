#pragma once

namespace wagtailrack::testbed {

// `store --listen ADDRESS`: serves a SimulatedStore until SIGTERM or SIGINT.
int runStore(int argumentCount, char** arguments);

}
