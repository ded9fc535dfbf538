// Package declaration defines the objects that operators declare in TOML files,
// decodes the files and checks the declared set as a whole.
//
// A set may be spread over any number of files. [Parse] rejects unknown keys,
// merges the files into one set and returns every fault, not just the first:
//
//	set, faults := declaration.Parse(files)
//	for _, f := range faults {
//		fmt.Println(f) // models.toml:3: Models[0].Layers: must be at least 1
//	}
//
// The keys in the files are the names of the struct fields.
package declaration
