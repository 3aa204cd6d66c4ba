#pragma once

namespace wagtailrack::testbed {

// `instance-list --listen ADDRESS`: serves a SimulatedInstanceList until SIGTERM or SIGINT.
int runInstanceList(int argumentCount, char** arguments);

}
