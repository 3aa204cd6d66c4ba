#pragma once

namespace wagtailrack::testbed {

// `wagtailrack-testbed backend`: runs one simulated backend server until SIGTERM or SIGINT.
int runBackend(int argumentCount, char** arguments);

}
