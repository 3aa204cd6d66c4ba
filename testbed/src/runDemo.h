#pragma once

namespace wagtailrack::testbed {

// The `demo` subcommand: the Verband's deployment on loopback under load, with an edit, a graceful stop and a drain.
int runDemo(int argumentCount, char** arguments);

}
