package auditor

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	headName        = "head.json"
	fileSuffix      = ".jsonl"
	temporarySuffix = ".temporary"
)

// fileName returns the name of the file whose first record has the index first.
func fileName(folder string, first uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%020d%s", first, fileSuffix))
}

// fileNames returns the names of a trail's files in the order of their records.
func fileNames(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), fileSuffix) {
			names = append(names, filepath.Join(folder, entry.Name()))
		}
	}
	return names, nil
}

// writeFileAtomic replaces a file durably, so that after a crash it has either the old or the new contents.
func writeFileAtomic(name string, data []byte) (err error) {
	temporary := name + temporarySuffix
	file, err := os.OpenFile(filepath.Clean(temporary), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary, name); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(name))
}

// dropPages syncs the last file of a trail and drops its pages from the page cache. After a failed sync, Linux keeps pages
// in the cache that are marked clean but were never written to the disk; a record in them would look durable.
func dropPages(folder string) (err error) {
	names, err := fileNames(folder)
	if err != nil || len(names) == 0 {
		return err
	}
	file, err := os.Open(filepath.Clean(names[len(names)-1]))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if err := file.Sync(); err != nil {
		return err
	}
	// A file system that does not support the advice has no page cache to drop.
	_ = unix.Fadvise(int(file.Fd()), 0, 0, unix.FADV_DONTNEED)
	return nil
}

func syncFolder(name string) error {
	folder, err := os.Open(filepath.Clean(name))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// lockFolder locks the folder for this process until the result is closed.
func lockFolder(folder string) (io.Closer, error) {
	file, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("folder is in use by another process: %w", err), file.Close())
	}
	return file, nil
}

// readHead returns the link of the last acknowledged record. found is false if the folder has no head file.
func readHead(folder string) (head link, found bool, err error) {
	name := filepath.Join(folder, headName)
	data, err := os.ReadFile(filepath.Clean(name))
	if errors.Is(err, fs.ErrNotExist) {
		return head, false, nil
	}
	if err != nil {
		return head, false, err
	}
	head, ok := parseLink(data)
	if !ok {
		return head, false, &CorruptionError{file: name, line: 1, reason: "invalid contents"}
	}
	return head, true, nil
}

// folderScan verifies all records of a folder and that the chain contains the head.
type folderScan struct {
	head link
	// visit, if set, is called before each record and at the end of each file.
	visit     func(scanner *scanner)
	headFound bool
}

// run returns the scanner at the end of the last file. torn is true if that file ends with an incomplete record,
// which was never acknowledged.
func (folderScan *folderScan) run(folder string) (end *scanner, torn bool, err error) {
	names, err := fileNames(folder)
	if err != nil {
		return nil, false, err
	}
	end = &scanner{file: filepath.Join(folder, headName)}
	for position, name := range names {
		end, torn, err = folderScan.readFile(name, end.last)
		if err == nil && torn && (position < len(names)-1 || !folderScan.headFound) {
			end.line++
			err = end.corruption("%v", errTorn)
		}
		if err != nil {
			return nil, false, err
		}
	}
	if !folderScan.headFound {
		end.line++
		return nil, false, end.corruption("missing, but %s has record %d as the last one", headName, folderScan.head.index)
	}
	return end, torn, nil
}

func (folderScan *folderScan) readFile(name string, last link) (end *scanner, torn bool, err error) {
	file, err := os.Open(filepath.Clean(name))
	if err != nil {
		return nil, false, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	end = newScanner(name, file, last)
	if err := end.readHeader(); err != nil {
		return nil, false, err
	}
	for {
		if err := folderScan.checkHead(end); err != nil {
			return nil, false, err
		}
		_, err := end.next()
		switch {
		case errors.Is(err, io.EOF):
			return end, false, nil
		case errors.Is(err, errTorn):
			return end, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// checkHead compares the last record read with the head.
func (folderScan *folderScan) checkHead(scanner *scanner) error {
	if scanner.last.index == folderScan.head.index {
		if scanner.last != folderScan.head {
			return &CorruptionError{
				file: scanner.file, line: scanner.line, index: scanner.last.index,
				reason: "the hash differs from the one in " + headName,
			}
		}
		folderScan.headFound = true
	}
	if folderScan.visit != nil {
		folderScan.visit(scanner)
	}
	return nil
}

// scanFolder verifies a folder that no process has open. At most one record may follow the head, since the head is
// updated for each record before the next record is written.
func scanFolder(folder string, visit func(scanner *scanner)) (head link, end *scanner, torn bool, err error) {
	head, found, err := readHead(folder)
	if err != nil {
		return head, nil, false, err
	}
	if !found {
		return head, nil, false, &CorruptionError{file: filepath.Join(folder, headName), line: 1, reason: "missing"}
	}
	scan := &folderScan{head: head, visit: visit}
	end, torn, err = scan.run(folder)
	if err == nil && end.last.index > head.index+1 {
		err = &CorruptionError{
			file: end.file, line: end.line, index: head.index + 2,
			reason: fmt.Sprintf("%s has record %d as the last one", headName, head.index),
		}
	}
	return head, end, torn, err
}

// Verify verifies the trail in a folder that no process has open and returns the number of its records. The error
// wraps a CorruptionError for the first corrupt record.
func Verify(folder string) (records uint64, err error) {
	_, end, _, err := scanFolder(folder, nil)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return end.last.index, nil
}

// nonRetryable wraps the error of a failed write or sync in scheduler.ErrJournalFailed, the class of errors after
// which callers must not retry.
func nonRetryable(action string, err error) error {
	return scheduler.ErrJournalFailed.Wrap(Error.New("%s: %w", action, err))
}
