#pragma once

namespace wagtailrack::testbed {

// The `proxy` subcommand: one proxy whose faults follow a script file.
int runProxy(int argumentCount, char** arguments);

}
